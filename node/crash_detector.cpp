#include "node/crash_detector.h"

#include "core/json.h"
#include "core/logger.h"
#include "http/fan_out_engine.h"
#include "node/quarantine_controller.h"
#include "node/status_read.h"

namespace snipefall {

crash_detector::crash_detector(fan_out_engine &engine, quarantine_controller &quarantine, identity_function identify)
    : m_engine(engine)
    , m_quarantine(quarantine)
    , m_identify(std::move(identify))
{
}

void crash_detector::connectionClosed(const backend_server_id &server, request_fingerprint request)
{
    {
        const std::lock_guard lock(m_mutex);
        std::vector<request_fingerprint> &pending = m_pendingRequests[server];
        pending.push_back(request);
        if (pending.size() > 1) {
            return;
        }
    }
    const server_identity lastKnown = m_identify(server);
    // If the process crashed, its idle connections are dead too; closing them keeps new requests from being sent on them.
    m_engine.closeIdle(lastKnown.address);
    m_engine.submit(makeStatusRead(lastKnown.address), [this, server, lastKnown](const sub_response &status) { handleStatus(server, lastKnown, status); });
}

void crash_detector::handleStatus(const backend_server_id &server, const server_identity &lastKnown, const sub_response &status)
{
    bool crashed = status.status == transport_status::connect_failed || status.status == transport_status::closed;
    if (status.status == transport_status::ok) {
        const outcome<json> document = parseJson(status.body);
        crashed = document && jsonValue<std::uint64_t>(*document, "started_ms", lastKnown.startedMs) != lastKnown.startedMs;
    }
    std::vector<request_fingerprint> requests;
    {
        const std::lock_guard lock(m_mutex);
        requests = std::move(m_pendingRequests[server]);
        m_pendingRequests.erase(server);
    }
    if (crashed) {
        logWarning("server.crashed", {{"server", server.str()}, {"started_ms", std::to_string(lastKnown.startedMs)}});
        m_quarantine.crashed(server, lastKnown.startedMs);
        return;
    }
    for (const request_fingerprint request : requests) {
        m_quarantine.ended(request, server, false);
    }
}

} // namespace snipefall
