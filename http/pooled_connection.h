#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <cxxtools/connectable.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include "http/sub_request.h"
#include "http/tracking_selector.h"

namespace snipefall {

/** A connection of a fan_out_engine with its present sub-request; internal to this package and used by one thread. */
struct pooled_connection : public cxxtools::Connectable
{
    using clock = std::chrono::steady_clock;

    /** The id of a request is added to @p finished when its reply is whole or has failed. Both references outlive the connection. */
    pooled_connection(tracking_selector &selector, std::vector<std::uint64_t> &finished, const std::string &host, unsigned short port);

    /** Sets the next request. */
    void prepare(std::uint64_t newId, const sub_request &request, std::function<void(sub_response)> completion);
    /** Starts the prepared request; exceptions of the library are to be passed to fail(). */
    void send();
    /** Sets the status of the response after an exception of the library. */
    void fail(const std::exception &reason);

    tracking_selector &selector;
    std::vector<std::uint64_t> &finished;
    cxxtools::http::Request message; ///< The client keeps a pointer to it until the response is whole.
    cxxtools::http::Client client;
    cxxtools::net::TcpSocket *socket = nullptr; ///< Belongs to the client; nullptr if the library does not show it.
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
    void noteConnected();
    void onConnected(cxxtools::net::TcpSocket &socket);
    void onRequestSent(cxxtools::http::Client &client);
    void onHeaderReceived(cxxtools::http::Client &client);
    std::size_t onBodyAvailable(cxxtools::http::Client &client);
    void onReplyFinished(cxxtools::http::Client &client);
};

} // namespace snipefall
