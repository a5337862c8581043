#pragma once

#include <functional>
#include <mutex>
#include <string>

#include "core/backend_server.h"
#include "policy/fact.h"
#include "policy/request_quarantine.h"

namespace snipefall {

class peer_controller;

/** Tracks requests suspected of crashing backend servers and shares the suspicions with all nodes. Thread-safe. */
class quarantine_controller
{
public:
    explicit quarantine_controller(peer_controller &peers);

    /** Sets the callback that receives a one-sentence message when this node suspects or quarantines a request after a crash that it detected. */
    void onSuspicion(std::function<void(const std::string &)> callback) { m_onSuspicion = std::move(callback); }

    request_crash_status crashStatus(request_fingerprint request) const;
    void started(request_fingerprint request, const backend_server_id &server);
    void ended(request_fingerprint request, const backend_server_id &server, bool succeeded);
    /** Reports a crash of the server; @p startedMs is its start time before the crash, in milliseconds, and identifies the crash. */
    void crashed(const backend_server_id &server, std::uint64_t startedMs);
    /** Applies a suspicion, or the clearing of one, that a peer published. */
    void handleFact(const fact &received);
    void tick();
    std::size_t quarantinedCount() const;

private:
    mutable std::mutex m_mutex;
    request_quarantine m_quarantine;
    peer_controller &m_peers;
    std::function<void(const std::string &)> m_onSuspicion;
};

} // namespace snipefall
