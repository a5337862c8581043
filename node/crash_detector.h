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
 * Distinguishes a crash of a backend server from a lost connection.
 *
 * When a connection closes without a response, the detector reads the server's status once on a new connection. The server has crashed if it refuses
 * or closes that connection, or if the status shows a new start time.
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

    /** Reports that a connection closed without a response after @p request may have reached the server. */
    void connectionClosed(const backend_server_id &server, request_fingerprint request);

private:
    void handleStatus(const backend_server_id &server, const server_identity &lastKnown, const sub_response &status);

    fan_out_engine &m_engine;
    quarantine_controller &m_quarantine;
    identity_function m_identify;
    std::mutex m_mutex;
    std::map<backend_server_id, std::vector<request_fingerprint>> m_pendingRequests; ///< Requests that wait for the status read of their server.
};

} // namespace snipefall
