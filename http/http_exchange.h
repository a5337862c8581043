#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "http/async_http_types.h"
#include "http/memory_charge.h"

namespace snipefall {

class server_connection;

/** One request received by an async_http_server and its pending response. */
class http_exchange
{
public:
    http_exchange(std::weak_ptr<server_connection> connection,
                  http_request_message request,
                  std::chrono::steady_clock::time_point receivedAt,
                  std::string clientAddress,
                  std::unique_ptr<memory_charge> memory);

    const http_request_message &request() const { return m_request; }
    /** When the last byte of the request was read. */
    std::chrono::steady_clock::time_point received() const { return m_receivedAt; }

    /** The IP address of the client; empty if the client had already disconnected when its connection was accepted. */
    const std::string &client() const { return m_clientAddress; }
    /** Sends the response. Only the first call has an effect; after a disconnect of the client none has. */
    void respond(http_response_message response);
    /** Sets a handler that is called once if the client disconnects before the response is sent. */
    void onClientDisconnect(std::function<void()> handler) { m_onClientDisconnect = std::move(handler); }
    /** Whether a response was passed to respond() or the client has disconnected. */
    bool finished() const { return m_finished; }

private:
    friend class server_connection;
    void notifyClientDisconnect();

    std::weak_ptr<server_connection> m_connection;
    http_request_message m_request;
    std::chrono::steady_clock::time_point m_receivedAt;
    std::string m_clientAddress;
    std::function<void()> m_onClientDisconnect;
    bool m_finished = false;
    std::unique_ptr<memory_charge> m_memory; ///< Charges the request, which may outlive its connection.
};

} // namespace snipefall
