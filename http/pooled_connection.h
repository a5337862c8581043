#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <cxxtools/connectable.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include "http/socket_tracking_selector.h"
#include "http/sub_request.h"

namespace snipefall {

/** A pooled connection of a fan_out_engine and its current sub-request. Internal to this folder; used by one thread only. */
struct pooled_connection : public cxxtools::Connectable
{
    using clock = std::chrono::steady_clock;

    /** Appends the id of a sub-request to @p finished when its response is complete or has failed. @p selector and @p finished must outlive the connection. */
    pooled_connection(socket_tracking_selector &selector, std::vector<std::uint64_t> &finishedIds, const std::string &host, unsigned short port);

    /** Sets the sub-request that send() will start. */
    void prepare(std::uint64_t newId, const sub_request &request, std::function<void(sub_response)> completion);
    /** Starts the prepared sub-request. Throws exceptions of the HTTP library, which the caller must pass to fail(). */
    void send();
    /** Sets status and message of the response after an exception of the HTTP library. */
    void fail(const std::exception &reason);

    socket_tracking_selector &selector;
    std::vector<std::uint64_t> &finishedIds;
    cxxtools::http::Request message; ///< The client keeps a pointer to it until the response is complete.
    cxxtools::http::Client client;
    cxxtools::net::TcpSocket *socket = nullptr; ///< Owned by the client; nullptr if the client did not add it to the selector.
    std::uint64_t id = 0;
    std::string address;
    sub_response response;
    std::function<void(sub_response)> done;
    clock::time_point started;
    clock::time_point lastProgress;
    clock::time_point deadline;
    clock::time_point idleSince;
    std::chrono::milliseconds connectTimeout{0};
    std::chrono::milliseconds progressTimeout{0};

private:
    void findSocket();
    void markConnected();
    void onConnected(cxxtools::net::TcpSocket &socket);
    void onRequestSent(cxxtools::http::Client &client);
    void onHeaderReceived(cxxtools::http::Client &client);
    std::size_t onBodyAvailable(cxxtools::http::Client &client);
    void onReplyFinished(cxxtools::http::Client &client);
};

} // namespace snipefall
