#include "http/pooled_connection.h"

#include <algorithm>
#include <utility>

#include <cxxtools/http/reply.h>
#include <cxxtools/http/replyheader.h>

#include "http/final_status.h"

namespace snipefall {

pooled_connection::pooled_connection(socket_tracking_selector &selector, std::vector<std::uint64_t> &finishedIds, const std::string &host, unsigned short port)
    : selector(selector)
    , finishedIds(finishedIds)
    , client(selector, host, port)
{
    cxxtools::connect(client.requestSent, *this, &pooled_connection::onRequestSent);
    cxxtools::connect(client.headerReceived, *this, &pooled_connection::onHeaderReceived);
    cxxtools::connect(client.replyFinished, *this, &pooled_connection::onReplyFinished);
    cxxtools::connect(client.bodyAvailable, *this, &pooled_connection::onBodyAvailable);
}

void pooled_connection::prepare(std::uint64_t newId, const sub_request &request, std::function<void(sub_response)> completion)
{
    id = newId;
    done = std::move(completion);
    started = clock::now();
    lastProgress = started;
    deadline = request.deadline;
    connectTimeout = request.connectTimeout;
    progressTimeout = request.progressTimeout;
    message.clear();
    message.url(request.target);
    message.method(request.method);
    message.setHeader("Content-Type", "application/json");
    if (!request.requestId.empty()) {
        message.setHeader("Request-Id", request.requestId.c_str());
    }
    message.body() << request.body;
}

void pooled_connection::send()
{
    // On an open connection the first bytes are written immediately.
    response.mayHaveReachedServer = response.reusedConnection;
    selector.takeLastAddedSocket();
    client.beginExecute(message);
    findSocket();
}

// An error before the connected signal is a failed connect or a failed first write, so no byte has been sent then.
void pooled_connection::fail(const std::exception &reason)
{
    response.status = response.mayHaveReachedServer ? transport_status::closed : transport_status::connect_failed;
    response.message = reason.what();
}

// Only the first beginExecute() adds the socket to the selector, so the socket is looked up once.
void pooled_connection::findSocket()
{
    if (socket == nullptr) {
        socket = selector.takeLastAddedSocket();
        if (socket != nullptr) {
            cxxtools::connect(socket->connected, *this, &pooled_connection::onConnected);
        }
    }
    if (socket == nullptr || socket->isConnected()) {
        markConnected();
    }
}

void pooled_connection::markConnected()
{
    response.mayHaveReachedServer = true;
    lastProgress = clock::now();
}

void pooled_connection::onConnected(cxxtools::net::TcpSocket &)
{
    if (socket->isConnected()) {
        markConnected();
    }
}

void pooled_connection::onRequestSent(cxxtools::http::Client &)
{
    ++response.transmissions;
    markConnected();
}

void pooled_connection::onHeaderReceived(cxxtools::http::Client &)
{
    lastProgress = clock::now();
}

std::size_t pooled_connection::onBodyAvailable(cxxtools::http::Client &)
{
    std::streambuf *buffer = client.in().rdbuf();
    std::size_t count = 0;
    while (buffer->in_avail() > 0) {
        char bytes[4096];
        const std::streamsize read = buffer->sgetn(bytes, std::min<std::streamsize>(buffer->in_avail(), sizeof bytes));
        if (read <= 0) {
            break;
        }
        response.body.append(bytes, static_cast<std::size_t>(read));
        count += static_cast<std::size_t>(read);
    }
    lastProgress = clock::now();
    return count;
}

// endExecute() rethrows the exception that the library is currently handling, so it must be called from within this signal handler.
void pooled_connection::onReplyFinished(cxxtools::http::Client &)
{
    try {
        client.endExecute();
        const unsigned status = client.header().httpReturnCode();
        if (isFinalStatus(status)) {
            response.status = transport_status::ok;
            response.httpStatus = static_cast<int>(status);
        } else {
            response.status = transport_status::closed;
            response.message = "invalid status code " + std::to_string(status);
        }
    } catch (const std::exception &e) {
        fail(e);
    }
    finishedIds.push_back(id);
}

} // namespace snipefall
