#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "http/async_http_types.h"

namespace snipefall {

class server_connection;

/** One request of a client and its response. */
class http_exchange
{
public:
    http_exchange(std::weak_ptr<server_connection> connection,
                  http_request_message request,
                  std::chrono::steady_clock::time_point received,
                  std::string client);

    const http_request_message &request() const { return m_request; }
    /** When the last byte of the request was read. */
    std::chrono::steady_clock::time_point received() const { return m_received; }

    /** The IP address of the client; empty if it had left already. */
    const std::string &client() const { return m_client; }
    /** Sends the response; only the first call has an effect, and none after the client has left. */
    void respond(http_response_message response);
    /** Calls @p handler once if the client closes its connection before the response. */
    void onClientLeft(std::function<void()> handler) { m_clientLeft = std::move(handler); }
    bool finished() const { return m_finished; }

private:
    friend class server_connection;
    void clientLeft();

    std::weak_ptr<server_connection> m_connection;
    http_request_message m_request;
    std::chrono::steady_clock::time_point m_received;
    std::string m_client;
    std::function<void()> m_clientLeft;
    bool m_finished = false;
};

} // namespace snipefall
