#include "http/http_exchange.h"

#include "http/server_connection.h"

namespace snipefall {

http_exchange::http_exchange(std::weak_ptr<server_connection> connection,
                             http_request_message request,
                             std::chrono::steady_clock::time_point receivedAt,
                             std::string clientAddress,
                             std::unique_ptr<memory_charge> memory)
    : m_connection(std::move(connection))
    , m_request(std::move(request))
    , m_receivedAt(receivedAt)
    , m_clientAddress(std::move(clientAddress))
    , m_memory(std::move(memory))
{
}

void http_exchange::respond(http_response_message response)
{
    if (m_finished) {
        return;
    }
    m_finished = true;
    m_onClientDisconnect = nullptr;
    if (const auto connection = m_connection.lock()) {
        connection->respond(std::move(response));
    }
}

void http_exchange::notifyClientDisconnect()
{
    if (m_finished) {
        return;
    }
    m_finished = true;
    const std::function<void()> handler = std::move(m_onClientDisconnect);
    m_onClientDisconnect = nullptr;
    if (handler) {
        handler();
    }
}

} // namespace snipefall
