#include "node/quarantine_controller.h"

#include <fmt/format.h>

#include "core/json.h"
#include "core/logger.h"
#include "node/peer_controller.h"

namespace snipefall {

quarantine_controller::quarantine_controller(peer_controller &peers)
    : m_peers(peers)
{
}

request_standing quarantine_controller::standing(request_fingerprint request) const
{
    const std::lock_guard lock(m_mutex);
    return m_quarantine.standing(request);
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
        m_peers.publish(fact_kind::suspected_request,
                        fmt::format("cleared/{:016x}", request.value()),
                        json{{"fingerprint", request.value()}, {"cleared", true}}.dump(),
                        request_quarantine::RETENTION);
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
            const char *state = standing(request) == request_standing::quarantined ? "quarantined" : "suspected";
            m_onSuspicion(fmt::format("request {:016x} is {} after the crash of server {}", request.value(), state, server.str()));
        }
        m_peers.publish(fact_kind::suspected_request,
                        fmt::format("suspected/{:016x}/{}/{}", request.value(), server.str(), startedMs),
                        json{{"fingerprint", request.value()}, {"server", server.str()}, {"started_ms", startedMs}}.dump(),
                        request_quarantine::RETENTION);
    }
}

void quarantine_controller::handleFact(const fact &news)
{
    const outcome<json> document = parseJson(news.payload);
    if (!document || !document->is_object()) {
        logWarning("fact.malformed", {{"key", news.key}, {"origin", news.origin.str()}});
        return;
    }
    const request_fingerprint request(jsonValue<std::uint64_t>(*document, "fingerprint", 0));
    const std::lock_guard lock(m_mutex);
    if (jsonValue<bool>(*document, "cleared", false)) {
        m_quarantine.clear(request);
        return;
    }
    const crash_event event{backend_server_id(jsonValue<std::string>(*document, "server", "")), jsonValue<std::uint64_t>(*document, "started_ms", 0)};
    m_quarantine.suspect(request, event, system_clock().now());
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
