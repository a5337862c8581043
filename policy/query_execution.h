#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "policy/dropped_answers.h"
#include "policy/extra_load_budget.h"
#include "policy/query_actions.h"
#include "policy/query_options.h"
#include "policy/query_plan.h"
#include "policy/shard_progress.h"
#include "policy/sub_answer.h"

namespace snipefall {

/**
 * State machine of one query that is fanned out over the shards of one pinned snapshot.
 *
 * Every event handler appends the resulting actions to @p actions and may end the query. The driver calls tick() no later than nextTick(). After the
 * query has ended, events only update the counts of dropped answers. When a permit is denied immediately, the driver reports it before any other
 * event of the query, so that the budget grants no tokens for sub-requests that are not sent. The driver must serialise the events of all queries
 * that share a budget.
 */
class query_execution
{
public:
    query_execution(std::shared_ptr<const query_plan> plan, const query_options &options, extra_load_budget &budget);

    /** Sends the first sub-request of every shard, or of one shard only while a canary request is in flight. Must be called exactly once. */
    void start(time_point now, query_actions &actions);
    /** Merges the answer and returns the latency of its sub-request. Returns nothing if the answer was rejected, which dropped() counts. */
    std::optional<duration> subRequestAnswered(sub_answer answer, time_point now, query_actions &actions);
    /** Records that a sub-request failed, and retries the shard if its replicas and the budget permit. */
    void subRequestFailed(sub_request_id sub, shard_failure kind, time_point now, query_actions &actions);
    /** Records that the sub-request of a send_action was not sent because its server had no free permit. */
    void permitDenied(sub_request_id sub, time_point now, query_actions &actions);
    /** Records that a permit of @p server became free; sends at most one sub-request, to that server. */
    void permitAvailable(server_index server, time_point now, query_actions &actions);
    /** Performs the hedges and retries that are due, and ends the query at its deadline. */
    void tick(time_point now, query_actions &actions);
    /** Ends the query without an outcome and cancels the sub-requests in flight. */
    void abandon(time_point now, query_actions &actions);

    bool ended() const { return m_ended; }
    /** When the next tick is due; time_point::max() after the end. */
    time_point nextTick() const;
    /** Coverage of the answers merged so far; its list of missing shards is filled only when the query ends. */
    const coverage &progress() const { return m_coverage; }
    const dropped_answers &dropped() const { return m_dropped; }

private:
    enum class sub_request_state : std::uint8_t
    {
        active,
        ended,
        cancelled,
    };

    struct sub_request_record
    {
        time_point sentAt;
        std::uint32_t shard;
        std::uint8_t candidate;
        sub_request_state state;
        bool extra; ///< Whether this is a hedge or retry.
    };

    std::optional<std::uint32_t> positionOf(sub_request_id sub) const;
    std::uint32_t activePosition(sub_request_id sub) const;
    bool validateAnswer(const sub_answer &answer, std::uint32_t position);
    void endSubRequest(std::uint32_t position, sub_request_state state);
    void cancelActive(shard_progress &shard, time_point now, query_actions &actions);

    std::size_t candidateCount(std::uint32_t shard) const { return m_plan->shards[shard].candidates.size(); }
    sub_request_id idOf(std::uint32_t position) const;
    void attemptShard(std::uint32_t shard, time_point now, query_actions &actions);
    void handleNoCandidate(std::uint32_t shard, time_point now, query_actions &actions);
    void send(std::uint32_t shard, std::uint8_t candidate, bool extra, time_point now, query_actions &actions);
    void failSubRequest(std::uint32_t position, shard_failure kind, time_point now, query_actions &actions);
    void requestRestart(time_point now, query_actions &actions);

    void startCanary(time_point now, query_actions &actions);
    /** Postpones the first sub-requests of all shards except that of the canary until @p until. */
    void holdOtherShardsForCanary(time_point until);
    /** Ends the canary phase when a sub-request has ended. Returns false if the query must end because the server closed the connection. */
    bool endCanaryPhase(std::optional<shard_failure> failed, time_point now);
    void closeShard(std::uint32_t shard, shard_progress::state state);
    void scheduleAttempt(shard_progress &shard, time_point due);
    time_point effectiveDueTime(const shard_progress &shard) const;
    void runDueAttempts(time_point now, query_actions &actions);
    void countFirstSends(time_point now);
    void revokeFromBudget(const sub_request_record &record, time_point now);
    bool canFinish(time_point now) const;
    void advance(time_point now, query_actions &actions);
    void finish(time_point now, query_actions &actions);

    std::shared_ptr<const query_plan> m_plan;
    query_options m_options;
    extra_load_budget &m_budget;
    std::vector<shard_progress> m_shards;
    std::vector<sub_request_record> m_subRequests;
    std::vector<std::uint32_t> m_openShards; ///< Shards that are neither answered nor given up, in no particular order.
    std::vector<std::optional<std::string>> m_results;
    coverage m_coverage;
    dropped_answers m_dropped;
    time_point m_deadline{};
    time_point m_goodEnoughAt{};
    time_point m_hedgeHoldUntil{};
    time_point m_nextDue = time_point::max();
    std::size_t m_hedgeHoldShardCount = 0;
    std::int64_t m_uncountedFirstSends = 0; ///< First sub-requests sent but not yet reported to the budget, since their permits may still be denied.
    time_point m_uncountedFirstSendsSince{};
    bool m_started = false;
    bool m_ended = false;
    bool m_goodEnoughPassed = false;
    bool m_hedgesHeld = true; ///< Whether hedges are still held back; see hedge_settings::maxOpenShare.
    bool m_restartRequested = false;
    bool m_canaryActive = false;
    time_point m_canaryHoldUntil; ///< The other shards wait for the canary until this time.
    std::uint32_t m_canaryShard = 0;
};

} // namespace snipefall
