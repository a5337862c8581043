#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "core/json.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "http/http_server.h"
#include "tests/stand_ins/free_port.h"

namespace snipefall {

/** HTTP server that answers each route with the responses configured by a test, repeating the last one, and records the request bodies. */
class fake_node
{
public:
    fake_node()
        : m_port(freePort())
        , m_server(options(m_port), [this](const http_request &request) { return answer(request); })
    {
    }

    std::string start() { return m_server.start(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    /** Appends a response for @p route, which is the method, a space and the path. */
    void addResponse(const std::string &route, http_response response) { m_responses[route].push_back(std::move(response)); }

    /** Returns the request bodies received on a route. */
    std::vector<json> received(const std::string &route)
    {
        const std::lock_guard lock(m_mutex);
        return m_received[route];
    }
    std::string lastAuthorization()
    {
        const std::lock_guard lock(m_mutex);
        return m_authorization;
    }

private:
    static http_server_options options(unsigned short port)
    {
        http_server_options result;
        result.port = port;
        result.maxThreads = 4;
        return result;
    }

    http_response answer(const http_request &request)
    {
        const std::lock_guard lock(m_mutex);
        const std::string route = request.method + " " + request.path;
        std::vector<json> &received = m_received[route];
        received.push_back(json::parse(request.body, nullptr, false));
        m_authorization = request.header("Authorization");
        const auto found = m_responses.find(route);
        if (found == m_responses.end()) {
            http_response response;
            response.status = 404;
            response.body = R"({"error":{"code":"not_found","message":"no route","ran":"not_run"}})";
            return response;
        }
        return found->second[std::min(received.size(), found->second.size()) - 1];
    }

    unsigned short m_port;
    std::mutex m_mutex;
    std::map<std::string, std::vector<http_response>> m_responses;
    std::map<std::string, std::vector<json>> m_received;
    std::string m_authorization;
    http_server m_server;
};

} // namespace snipefall
