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
        std::vector<request_fingerprint> &undecided = m_undecided[server];
        undecided.push_back(request);
        if (undecided.size() > 1) {
            return;
        }
    }
    const server_identity before = m_identify(server);
    // Idle connections to a crashed process would only show that it is gone.
    m_engine.closeIdle(before.address);
    m_engine.submit(makeStatusRead(before.address), [this, server, before](const sub_response &status) { decide(server, before, status); });
}

void crash_detector::decide(const backend_server_id &server, const server_identity &before, const sub_response &status)
{
    bool crashed = status.status == transport_status::connect_failed || status.status == transport_status::closed;
    if (status.status == transport_status::ok) {
        const outcome<json> document = parseJson(status.body);
        crashed = document && jsonValue<std::uint64_t>(*document, "started_ms", before.startedMs) != before.startedMs;
    }
    std::vector<request_fingerprint> requests;
    {
        const std::lock_guard lock(m_mutex);
        requests = std::move(m_undecided[server]);
        m_undecided.erase(server);
    }
    if (crashed) {
        logWarning("server.crashed", {{"server", server.str()}, {"started_ms", std::to_string(before.startedMs)}});
        m_quarantine.crashed(server, before.startedMs);
        return;
    }
    for (const request_fingerprint request : requests) {
        m_quarantine.ended(request, server, false);
    }
}

} // namespace snipefall
