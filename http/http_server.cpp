#include "http/http_server.h"

#include <algorithm>
#include <atomic>
#include <thread>

#include <netinet/in.h>
#include <sys/socket.h>

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/regex.h>

#include "http/http_request.h"
#include "http/http_response.h"

namespace snipefall {

namespace {

const char *reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 202:
        return "Accepted";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 500:
        return "Internal Server Error";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

class handler_service : public cxxtools::http::Service
{
public:
    handler_service(const http_server_options &options, http_server::handler handle)
        : m_options(options)
        , m_handle(std::move(handle))
    {
    }

    const http_server_options &options() const { return m_options; }
    http_response handle(const http_request &request) const { return m_handle(request); }

    void incrementRunning() { ++m_runningRequests; }
    void decrementRunning() { --m_runningRequests; }
    int runningRequests() const { return m_runningRequests; }

protected:
    cxxtools::http::Responder *createResponder(const cxxtools::http::Request &) override;
    void releaseResponder(cxxtools::http::Responder *responder) override { delete responder; }

private:
    http_server_options m_options;
    http_server::handler m_handle;
    std::atomic<int> m_runningRequests{0};
};

class handler_responder : public cxxtools::http::Responder
{
public:
    explicit handler_responder(handler_service &service)
        : cxxtools::http::Responder(service)
        , m_service(service)
    {
    }

    void beginRequest(cxxtools::net::TcpSocket &socket, std::istream &, cxxtools::http::Request &) override
    {
        m_socket = socket.getFd();
        m_request.peerAddress = socket.getPeerAddr();
        const std::size_t port = m_request.peerAddress.rfind(':');
        m_request.peerAddress.resize(port == std::string::npos ? m_request.peerAddress.size() : port);
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        if (::getpeername(m_socket, reinterpret_cast<sockaddr *>(&peer), &size) == 0 && peer.sin_family == AF_INET) {
            m_request.peerPort = ntohs(peer.sin_port);
        }
    }

    std::size_t readBody(std::istream &in) override
    {
        std::size_t count = 0;
        while (in.rdbuf()->in_avail() > 0) {
            char buffer[4096];
            const std::streamsize read = in.rdbuf()->sgetn(buffer, std::min<std::streamsize>(in.rdbuf()->in_avail(), sizeof buffer));
            if (read <= 0) {
                break;
            }
            count += static_cast<std::size_t>(read);
            m_bodyBytes += static_cast<std::size_t>(read);
            if (m_bodyBytes <= m_service.options().maxBodyBytes) {
                m_request.body.append(buffer, static_cast<std::size_t>(read));
            }
        }
        return count;
    }

    void reply(std::ostream &out, cxxtools::http::Request &request, cxxtools::http::Reply &reply) override
    {
        m_service.incrementRunning();
        const http_response response = respond(request);
        if (response.closeWithoutResponse) {
            ::shutdown(m_socket, SHUT_RDWR);
        }
        reply.httpReturn(static_cast<unsigned>(response.status), reasonPhrase(response.status));
        reply.setHeader("Content-Type", response.contentType.c_str());
        for (const http_header &field : response.headers) {
            reply.setHeader(field.name.c_str(), field.value.c_str());
        }
        if (response.closeConnection || response.closeWithoutResponse) {
            reply.setHeader("Connection", "close");
        }
        out << response.body;
        m_service.decrementRunning();
    }

private:
    http_response respond(const cxxtools::http::Request &request)
    {
        if (m_bodyBytes > m_service.options().maxBodyBytes) {
            http_response response;
            response.status = 413;
            response.body = R"({"error":{"code":"invalid_argument","message":"the body is larger than allowed","ran":"not_run"}})";
            response.closeConnection = true;
            return response;
        }
        m_request.method = request.method();
        m_request.path = request.url();
        m_request.queryString = request.qparams();
        for (const auto &field : request.header()) {
            m_request.headers.push_back({std::string(field.first,
                                                     field.first[0] != '\0' && field.first[std::char_traits<char>::length(field.first) - 1] == ':'
                                                         ? std::char_traits<char>::length(field.first) - 1
                                                         : std::char_traits<char>::length(field.first)),
                                         field.second});
        }
        return m_service.handle(m_request);
    }

    handler_service &m_service;
    http_request m_request;
    std::size_t m_bodyBytes = 0;
    int m_socket = -1;
};

cxxtools::http::Responder *handler_service::createResponder(const cxxtools::http::Request &)
{
    return new handler_responder(*this);
}

} // namespace

struct http_server::implementation
{
    implementation(http_server_options serverOptions, handler handle)
        : options(std::move(serverOptions))
        , service(options, std::move(handle))
    {
    }

    http_server_options options;
    handler_service service;
    cxxtools::EventLoop loop;
    std::unique_ptr<cxxtools::http::Server> server;
    std::thread thread;
};

http_server::http_server(http_server_options options, handler handle)
    : m_implementation(std::make_unique<implementation>(std::move(options), std::move(handle)))
{
}

http_server::~http_server()
{
    stop();
}

std::string http_server::start()
{
    implementation &self = *m_implementation;
    const http_server_options &options = self.options;
    try {
        self.server = std::make_unique<cxxtools::http::Server>(self.loop);
        self.server->minThreads(std::min(4U, options.maxThreads));
        self.server->maxThreads(options.maxThreads);
        self.server->readTimeout(cxxtools::Milliseconds(options.readTimeoutMs));
        self.server->keepAliveTimeout(cxxtools::Milliseconds(options.keepAliveTimeoutMs));
        self.server->addService(cxxtools::Regex(".*"), self.service);
        self.server->listen(options.address, options.port, options.certificateFile, options.privateKeyFile);
    } catch (const std::exception &e) {
        self.server.reset();
        return "can't listen on " + options.address + ":" + std::to_string(options.port) + ": " + e.what();
    }
    self.thread = std::thread([&self] { self.loop.run(); });
    return {};
}

void http_server::stop()
{
    implementation &self = *m_implementation;
    if (!self.thread.joinable()) {
        return;
    }
    self.loop.exit();
    self.thread.join();
    self.server.reset();
}

} // namespace snipefall
