#include "http/http_call.h"

#include <algorithm>
#include <chrono>

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/replyheader.h>
#include <cxxtools/http/request.h>

#include "http/final_status.h"
#include "http/socket_tracking_selector.h"

namespace snipefall {

namespace {

// Runs one call with the asynchronous client, because only this client reports when the socket is connected, that is, from when on bytes of the request may
// have been sent.
class single_call : public cxxtools::Connectable
{
public:
    explicit single_call(const http_call &call)
        : m_call(call)
    {
    }

    http_call_result run()
    {
        std::string host;
        unsigned short port = 0;
        if (!splitAddress(m_call.address, host, port)) {
            m_result.message = "malformed address: " + m_call.address;
            return m_result;
        }
        try {
            execute(host, port);
        } catch (const std::exception &e) {
            fail(e);
        }
        return m_result;
    }

private:
    void execute(const std::string &host, unsigned short port)
    {
        socket_tracking_selector selector;
        cxxtools::http::Client client(selector, host, port);
        cxxtools::connect(client.requestSent, *this, &single_call::onRequestSent);
        cxxtools::connect(client.headerReceived, *this, &single_call::onHeaderReceived);
        cxxtools::connect(client.replyFinished, *this, &single_call::onReplyFinished);
        cxxtools::connect(client.bodyAvailable, *this, &single_call::onBodyAvailable);
        cxxtools::http::Request request(m_call.target);
        request.method(m_call.method);
        for (const http_header &field : m_call.headers) {
            request.setHeader(field.name.c_str(), field.value.c_str());
        }
        request.setHeader("Connection", "close");
        request.body() << m_call.body;
        using clock = std::chrono::steady_clock;
        const clock::time_point start = clock::now();
        client.beginExecute(request);
        m_socket = selector.takeLastAddedSocket();
        if (m_socket != nullptr) {
            cxxtools::connect(m_socket->connected, *this, &single_call::onConnected);
        }
        if (m_socket == nullptr || m_socket->isConnected()) {
            markConnected();
        }
        while (!m_finished) {
            const long elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - start).count();
            const long limit = m_connected ? m_call.timeoutMs : std::min(m_call.connectTimeoutMs, m_call.timeoutMs);
            if (elapsed >= limit) {
                client.cancel();
                m_result.status = m_connected ? transport_status::deadline_exceeded : transport_status::connect_failed;
                m_result.message = m_connected ? "timeout" : "connect timeout";
                return;
            }
            selector.wait(cxxtools::Milliseconds(static_cast<double>(limit - elapsed)));
        }
    }

    void onConnected(cxxtools::net::TcpSocket &)
    {
        if (m_socket->isConnected()) {
            markConnected();
        }
    }

    void markConnected()
    {
        m_connected = true;
        m_result.mayHaveReachedServer = true;
    }

    void onRequestSent(cxxtools::http::Client &) { markConnected(); }

    void onHeaderReceived(cxxtools::http::Client &client)
    {
        const char *type = client.header().getHeader("Content-Type");
        m_result.response.contentType = type != nullptr ? type : "";
    }

    std::size_t onBodyAvailable(cxxtools::http::Client &client)
    {
        std::size_t count = 0;
        std::streambuf *buffer = client.in().rdbuf();
        while (buffer->in_avail() > 0) {
            m_result.response.body += static_cast<char>(buffer->sbumpc());
            ++count;
        }
        return count;
    }

    // endExecute() rethrows the exception that the library is currently handling, so it must be called from within this signal handler.
    void onReplyFinished(cxxtools::http::Client &client)
    {
        m_finished = true;
        try {
            client.endExecute();
            const unsigned status = client.header().httpReturnCode();
            if (!isFinalStatus(status)) {
                m_result.status = transport_status::closed;
                m_result.message = "invalid status code " + std::to_string(status);
                return;
            }
            m_result.response.status = static_cast<int>(status);
            m_result.status = transport_status::ok;
        } catch (const std::exception &e) {
            fail(e);
        }
    }

    // An error before the connected signal is a failed connect or a failed first write, so no byte has been sent then.
    void fail(const std::exception &reason)
    {
        m_result.status = m_connected ? transport_status::closed : transport_status::connect_failed;
        m_result.message = reason.what();
    }

    const http_call &m_call;
    http_call_result m_result;
    cxxtools::net::TcpSocket *m_socket = nullptr; // Owned by the client; nullptr if the client did not add it to the selector.
    bool m_connected = false;
    bool m_finished = false;
};

} // namespace

bool splitAddress(const std::string &address, std::string &host, unsigned short &port)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == address.size() || address.size() - colon > 6) {
        return false;
    }
    unsigned long number = 0;
    for (std::size_t i = colon + 1; i < address.size(); ++i) {
        if (address[i] < '0' || address[i] > '9') {
            return false;
        }
        number = number * 10 + static_cast<unsigned long>(address[i] - '0');
    }
    if (number == 0 || number > 65535) {
        return false;
    }
    host = address.substr(0, colon);
    port = static_cast<unsigned short>(number);
    return true;
}

http_call_result executeHttpCall(const http_call &call)
{
    return single_call(call).run();
}

} // namespace snipefall
