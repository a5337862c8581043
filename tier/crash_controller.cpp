#include "tier/crash_controller.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/logger.h"
#include "http/async_http_client.h"
#include "platform/health_check.h"
#include "policy/request_suspicion.h"
#include "tier/loop_clock.h"
#include "tier/server_announcements.h"
#include "tier/tier_blackboard.h"

namespace snipefall {

namespace {

/** Health checks for one request; a single crashed server is enough to suspect it. */
constexpr std::size_t CHECKS_PER_REQUEST = 2;
/** Health checks that run at the same time; bounds the load while many requests fail at once. */
constexpr std::size_t MAX_CONCURRENT_CHECKS = 8;
/** Short, because a crashed server refuses connections at once. */
constexpr duration CHECK_TIMEOUT = std::chrono::milliseconds(500);
/** Retry-After of a quarantined request while a trial of it runs, which usually decides on it. */
constexpr duration RUNNING_TRIAL_WAIT = std::chrono::seconds(1);
/** Requests remembered as harmless, some 64 bytes each; the limit is low because a node has little memory. */
constexpr std::size_t MAX_PROVEN_REQUESTS = 4096;

std::string fingerprintText(request_fingerprint request)
{
    return fmt::format("{:016x}", request.value());
}

} // namespace

/** The health checks that search for a crashed server among those on which the sub-requests of one request were lost. */
struct crash_controller::crash_search
{
    request_fingerprint request;
    request_id id;
    bool crashFound = false;
};

crash_controller::crash_controller(async_http_client &client, store_client &store, tier_blackboard &board)
    : m_client(client)
    , m_board(board)
    , m_quarantine(MAX_PROVEN_REQUESTS)
    , m_trials(store)
{
}

void crash_controller::answered(request_fingerprint request)
{
    const request_crash_status before = m_quarantine.crashStatus(request);
    m_quarantine.clear(request);
    if (before == request_crash_status::suspected || before == request_crash_status::quarantined) {
        logInfo("request.cleared", {{"fingerprint", fingerprintText(request)}, {"reason", "answered"}});
        publish({request, std::nullopt});
    }
}

void crash_controller::unanswered(request_fingerprint request, const request_id &id, const std::vector<lost_server> &servers)
{
    if (servers.empty() || m_quarantine.crashStatus(request) == request_crash_status::known_safe || m_board.servers.seemsIsolated(now())) {
        return;
    }
    const auto search = std::make_shared<crash_search>(crash_search{request, id});
    for (std::size_t i = 0; i < std::min(servers.size(), CHECKS_PER_REQUEST); ++i) {
        if (m_runningChecks >= MAX_CONCURRENT_CHECKS) {
            logInfo("request.crash_not_checked", {{"request", id.str()}, {"server", servers[i].id.str()}, {"reason", "too_many_checks"}});
            return;
        }
        if (m_board.servers.isPaused(servers[i].id, now())) {
            logInfo("request.crash_not_checked", {{"request", id.str()}, {"server", servers[i].id.str()}, {"reason", "server_paused"}});
            continue;
        }
        check(servers[i], [this, search, server = servers[i]](const client_result &, bool gone) { handleCheckResult(*search, server, gone); });
    }
}

void crash_controller::check(const lost_server &server, std::function<void(const client_result &, bool)> onChecked)
{
    ++m_runningChecks;
    client_call call;
    call.address = server.address;
    call.bytes = healthCheckRequest(server.healthPath, server.address);
    call.newConnection = true;
    call.deadline = now() + CHECK_TIMEOUT;
    m_client.start(std::move(call), [this, server, onChecked = std::move(onChecked)](const client_result &result) {
        --m_runningChecks;
        const bool otherServer = result.outcome == client_result::kind::answered && !isAnswerFrom(result.response, server.id);
        if (result.outcome == client_result::kind::answered && !otherServer) {
            noteServerAnnouncement(m_board, server.id, result.response, std::chrono::time_point_cast<duration>(result.sentAt));
        }
        onChecked(result, result.outcome == client_result::kind::not_sent || otherServer);
    });
}

void crash_controller::handleCheckResult(crash_search &search, const lost_server &server, bool crashed)
{
    logInfo("server.checked_after_loss",
            {{"request", search.id.str()}, {"server", server.id.str()}, {"address", server.address}, {"crashed", crashed ? "yes" : "no"}});
    if (!crashed || search.crashFound) {
        return;
    }
    search.crashFound = true;
    noteCrash(search.request, search.id, server.id);
}

void crash_controller::noteCrash(request_fingerprint request, const request_id &id, const backend_server_id &server)
{
    const backend_entry *entry = m_board.servers.find(server);
    const crash_event crash{server, entry ? entry->startedMs : 0};
    m_quarantine.suspect(request, crash, now());
    logWarning(refuses(request) ? "request.quarantined" : "request.suspected",
               {{"request", id.str()}, {"fingerprint", fingerprintText(request)}, {"server", server.str()}});
    publish({request, crash});
}

duration crash_controller::trialWait(request_fingerprint request) const
{
    const duration wait = std::max(m_quarantine.nextTrialAt(request) - now(), duration::zero());
    return m_askedTrials.count(request) > 0 ? std::max(wait, RUNNING_TRIAL_WAIT) : wait;
}

void crash_controller::askForTrial(request_fingerprint request, std::function<void(bool)> onDecided)
{
    m_askedTrials.insert(request);
    m_trials.take(request, [this, request, onDecided = std::move(onDecided)](duration wait) {
        const bool granted = wait <= duration::zero();
        if (!granted) {
            m_askedTrials.erase(request);
            m_quarantine.postponeTrial(request, now() + wait);
        }
        logInfo(granted ? "crash_trial.granted" : "crash_trial.not_granted",
                {{"fingerprint", fingerprintText(request)}, {"wait_ms", std::to_string(wait / std::chrono::milliseconds(1))}});
        onDecided(granted);
    });
}

void crash_controller::endTrial(request_fingerprint request, const request_id &id, const trial_end &end)
{
    if (end.observed.answered || !end.server) {
        closeTrial(request, id, end);
        return;
    }
    const auto observed = std::make_shared<trial_end>(end);
    const auto checks = std::make_shared<int>(end.sibling ? 2 : 1);
    const auto finishCheck = [this, request, id, observed, checks] {
        if (--*checks == 0) {
            closeTrial(request, id, *observed);
        }
    };
    check(*end.server, [observed, finishCheck](const client_result &result, bool gone) {
        observed->observed.serverGone = gone;
        observed->observed.serverAnswered = !gone && result.outcome == client_result::kind::answered;
        finishCheck();
    });
    if (end.sibling) {
        check(*end.sibling, [observed, finishCheck](const client_result &, bool gone) {
            observed->observed.siblingGone = gone;
            finishCheck();
        });
    }
}

void crash_controller::closeTrial(request_fingerprint request, const request_id &id, const trial_end &end)
{
    const crash_trial_verdict verdict = judgeCrashTrial(end.observed);
    m_askedTrials.erase(request);
    logInfo("crash_trial.ended",
            {{"request", id.str()},
             {"fingerprint", fingerprintText(request)},
             {"verdict", toString(verdict)},
             {"server", end.server ? end.server->id.str() : "-"},
             {"sibling_gone", end.observed.siblingGone ? "yes" : "no"}});
    switch (verdict) {
    case crash_trial_verdict::harmless:
        answered(request);
        m_trials.remove(request);
        return;
    case crash_trial_verdict::inconclusive:
        m_trials.giveBack(request);
        break;
    case crash_trial_verdict::counted:
        m_trials.spend(request);
        break;
    case crash_trial_verdict::crashed:
        m_trials.spend(request);
        noteCrash(request, id, end.server->id);
        break;
    }
    m_quarantine.postponeTrial(request, now() + CRASH_TRIAL_PAUSE);
}

void crash_controller::applyPeerFact(const fact &peerFact)
{
    const std::optional<request_suspicion> suspicion = decodeSuspicion(peerFact);
    if (!suspicion) {
        logWarning("peers.fact_malformed", {{"key", peerFact.key}, {"origin", peerFact.origin.str()}});
        return;
    }
    if (!suspicion->crash) {
        m_quarantine.clear(suspicion->request);
        return;
    }
    if (m_quarantine.crashStatus(suspicion->request) == request_crash_status::known_safe) {
        // The request ran without a crash through this node, which its peers may not know yet.
        publish({suspicion->request, std::nullopt});
        return;
    }
    m_quarantine.suspect(suspicion->request, *suspicion->crash, now());
    if (refuses(suspicion->request)) {
        logWarning("request.quarantined",
                   {{"fingerprint", fingerprintText(suspicion->request)}, {"server", suspicion->crash->server.str()}, {"origin", peerFact.origin.str()}});
    }
}

void crash_controller::publish(const request_suspicion &suspicion)
{
    if (m_publish) {
        m_publish(encodeSuspicion(suspicion));
    }
}

} // namespace snipefall
