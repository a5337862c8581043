#include "http/http_exchange.h"

#include "http/server_connection.h"

namespace snipefall {

http_exchange::http_exchange(std::weak_ptr<server_connection> connection,
                             http_request_message request,
                             std::chrono::steady_clock::time_point received,
                             std::string client)
    : m_connection(std::move(connection))
    , m_request(std::move(request))
    , m_received(received)
    , m_client(std::move(client))
{
}

void http_exchange::respond(http_response_message response)
{
    if (m_finished) {
        return;
    }
    m_finished = true;
    m_clientLeft = nullptr;
    if (const auto connection = m_connection.lock()) {
        connection->respond(std::move(response));
    }
}

void http_exchange::clientLeft()
{
    if (m_finished) {
        return;
    }
    m_finished = true;
    const std::function<void()> handler = std::move(m_clientLeft);
    m_clientLeft = nullptr;
    if (handler) {
        handler();
    }
}

} // namespace snipefall
