#include "node/quarantine_controller.h"

#include <fmt/format.h>

#include "core/logger.h"
#include "node/peer_controller.h"
#include "policy/request_suspicion.h"

namespace snipefall {

quarantine_controller::quarantine_controller(peer_controller &peers)
    : m_peers(peers)
{
}

request_crash_status quarantine_controller::crashStatus(request_fingerprint request) const
{
    const std::lock_guard lock(m_mutex);
    return m_quarantine.crashStatus(request);
}

void quarantine_controller::started(request_fingerprint request, const backend_server_id &server)
{
    const std::lock_guard lock(m_mutex);
    m_quarantine.started(request, server);
}

void quarantine_controller::ended(request_fingerprint request, const backend_server_id &server, bool succeeded)
{
    bool cleared = false;
    {
        const std::lock_guard lock(m_mutex);
        cleared = m_quarantine.ended(request, server, succeeded);
    }
    if (cleared) {
        m_peers.publish(encodeSuspicion({request, std::nullopt}));
    }
}

void quarantine_controller::crashed(const backend_server_id &server, std::uint64_t startedMs)
{
    std::vector<request_fingerprint> suspects;
    {
        const std::lock_guard lock(m_mutex);
        suspects = m_quarantine.crashed({server, startedMs}, system_clock().now());
    }
    for (const request_fingerprint request : suspects) {
        logWarning("request.suspected", {{"fingerprint", fmt::format("{:016x}", request.value())}, {"server", server.str()}});
        if (m_onSuspicion) {
            const char *state = crashStatus(request) == request_crash_status::quarantined ? "quarantined" : "suspected";
            m_onSuspicion(fmt::format("request {:016x} is {} after the crash of server {}", request.value(), state, server.str()));
        }
        m_peers.publish(encodeSuspicion({request, crash_event{server, startedMs}}));
    }
}

void quarantine_controller::handleFact(const fact &received)
{
    const std::optional<request_suspicion> suspicion = decodeSuspicion(received);
    if (!suspicion) {
        logWarning("fact.malformed", {{"key", received.key}, {"origin", received.origin.str()}});
        return;
    }
    const std::lock_guard lock(m_mutex);
    if (!suspicion->crash) {
        m_quarantine.clear(suspicion->request);
        return;
    }
    m_quarantine.suspect(suspicion->request, *suspicion->crash, system_clock().now());
}

void quarantine_controller::tick()
{
    const std::lock_guard lock(m_mutex);
    m_quarantine.tick(system_clock().now());
}

std::size_t quarantine_controller::quarantinedCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_quarantine.quarantinedCount();
}

} // namespace snipefall
