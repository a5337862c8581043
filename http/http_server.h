#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http/http_server_options.h"

namespace snipefall {

struct http_request;
struct http_response;

/** An HTTP server that calls one handler for all requests, concurrently on a pool of threads. An exception of the handler is answered with status 500. */
class http_server
{
public:
    using handler = std::function<http_response(const http_request &)>;

    http_server(http_server_options options, handler handle);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /** Starts to listen. Returns an empty string on success, otherwise the error message. */
    std::string start();

    /** Stops accepting, lets running requests finish, and joins the threads. */
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace snipefall
