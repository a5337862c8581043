#pragma once

#include <functional>
#include <mutex>
#include <string>

#include "core/backend_server.h"
#include "policy/fact.h"
#include "policy/request_quarantine.h"

namespace snipefall {

class peer_controller;

/** Shares the evidence against requests that crash backend servers with all nodes. Thread-safe. */
class quarantine_controller
{
public:
    explicit quarantine_controller(peer_controller &peers);

    /** Called with one sentence when this node suspects or quarantines a request after a crash it saw. */
    void onSuspicion(std::function<void(const std::string &)> callback) { m_onSuspicion = std::move(callback); }

    request_crash_status crashStatus(request_fingerprint request) const;
    void started(request_fingerprint request, const backend_server_id &server);
    void ended(request_fingerprint request, const backend_server_id &server, bool succeeded);
    /** A connection closed without an answer; @p startedMs is the last known start time of the server. */
    void crashed(const backend_server_id &server, std::uint64_t startedMs);
    /** Takes a suspected_request or quarantined fact of a peer. */
    void handleFact(const fact &news);
    void tick();
    std::size_t quarantinedCount() const;

private:
    mutable std::mutex m_mutex;
    request_quarantine m_quarantine;
    peer_controller &m_peers;
    std::function<void(const std::string &)> m_onSuspicion;
};

} // namespace snipefall
