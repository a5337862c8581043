#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/json.h"
#include "http/async_http_client.h"

namespace snipefall {

/** Plays callers of the users' platform, and checks each answer that they get. */
class site_caller
{
public:
    /** A request of a caller. */
    struct request
    {
        std::string method = "GET";
        std::string host;
        std::string target;
        std::string body;
        std::string id;
        std::chrono::milliseconds deadline{1000};
    };

    /** How a request ended. */
    struct answer
    {
        unsigned status = 0; ///< 0 if the connection ended without an answer.
        std::string body;
        std::vector<std::string> signatures; ///< Of the parts of a query, or the single one.
        std::size_t missing = 0;
        double retryAfterS = 0;
        bool closes = false; ///< The node wants the connection closed.
        std::chrono::microseconds latency{};
    };

    explicit site_caller(boost::asio::io_context &loop);

    void send(const std::string &address, const request &sent, std::function<void(answer)> done);
    /** Sends bytes as they are; the connection is closed at the call's deadline. */
    void sendRaw(client_call call);

    /**
     * What is wrong with a success of a query over @p shards, or nothing.
     *
     * Each shard holds @p records records; the answer has to be the greatest @p top of the parts that it names.
     */
    static std::string
    problemOf(const answer &received, const request &sent, const std::vector<std::string> &shards, std::size_t records, std::size_t top, double leastShare);

private:
    async_http_client m_client;
};

} // namespace snipefall
