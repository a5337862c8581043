#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <vector>

#include "core/ids.h"
#include "http/sub_request.h"
#include "policy/request_fingerprint.h"

namespace snipefall {

class fan_out_engine;
class quarantine_controller;

/**
 * Tells a crash of a backend server from a lost connection.
 *
 * A connection that closes without an answer is followed by one status read on a new connection: the server crashed if it refuses the connection
 * or shows a new start time.
 */
class crash_detector
{
public:
    struct server_identity
    {
        std::string address;
        std::uint64_t startedMs = 0;
    };
    using identity_function = std::function<server_identity(const backend_server_id &)>;

    crash_detector(fan_out_engine &engine, quarantine_controller &quarantine, identity_function identify);

    /** A request may have reached the server, and its connection closed without an answer. */
    void connectionClosed(const backend_server_id &server, request_fingerprint request);

private:
    void decide(const backend_server_id &server, const server_identity &before, const sub_response &status);

    fan_out_engine &m_engine;
    quarantine_controller &m_quarantine;
    identity_function m_identify;
    std::mutex m_mutex;
    std::map<backend_server_id, std::vector<request_fingerprint>> m_undecided;
};

} // namespace snipefall
