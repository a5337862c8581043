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
 * The state machine of one query over the shards of one pinned snapshot.
 *
 * Every event appends its actions to @p out and may end the query; the driver calls tick() at nextTick() at the latest. Events after the
 * end do nothing but count dropped answers. Permits denied at once are reported before any other event of the query, so that the budget
 * grants nothing for sub-requests that are not sent. The caller serialises the events of all queries that share a budget.
 */
class query_execution
{
public:
    query_execution(std::shared_ptr<const query_plan> plan, const query_options &options, extra_load_budget &budget);

    /** Sends the first sub-request of every shard. Called once. */
    void start(time_point now, query_actions &out);
    /** Returns the latency of the sub-request when the answer is merged; any other answer is counted and dropped. */
    std::optional<duration> subAnswer(sub_answer answer, time_point now, query_actions &out);
    void subFailure(sub_request_id sub, shard_failure kind, time_point now, query_actions &out);
    /** The sub-request of a send action was not sent, for lack of a permit. */
    void permitDenied(sub_request_id sub, time_point now, query_actions &out);
    /** A server for which shards wait has a free slot; sends at most one sub-request, to that server. */
    void permitAvailable(server_index server, time_point now, query_actions &out);
    void tick(time_point now, query_actions &out);
    /** Ends the query without an outcome and cancels what runs. */
    void abandon(time_point now, query_actions &out);

    bool ended() const { return m_ended; }
    /** When the next tick is due; time_point::max() after the end. */
    time_point nextTick() const;
    /** The coverage so far, without the list of missing shards. */
    const coverage &progress() const { return m_coverage; }
    const dropped_answers &dropped() const { return m_dropped; }

private:
    enum class sub_state : std::uint8_t
    {
        active,
        ended,
        cancelled,
    };

    struct sub_record
    {
        time_point sentAt;
        std::uint32_t shard;
        std::uint8_t candidate;
        sub_state state;
        bool extra;
    };

    std::optional<std::uint32_t> positionOf(sub_request_id sub) const;
    std::uint32_t activePosition(sub_request_id sub) const;
    bool acceptable(const sub_answer &answer, std::uint32_t position);
    void endSub(std::uint32_t position, sub_state state);
    void cancelActive(shard_progress &shard, time_point now, query_actions &out);

    std::size_t candidateCount(std::uint32_t shard) const { return m_plan->shards[shard].candidates.size(); }
    sub_request_id idOf(std::uint32_t position) const;
    void attempt(std::uint32_t shard, time_point now, query_actions &out);
    void attemptWithoutCandidate(std::uint32_t shard, time_point now, query_actions &out);
    void send(std::uint32_t shard, std::uint8_t candidate, bool extra, time_point now, query_actions &out);
    void failAttempt(std::uint32_t position, shard_failure kind, time_point now, query_actions &out);
    void wantRestart(time_point now, query_actions &out);

    void startCanary(time_point now, query_actions &out);
    /** Lets the shards that were not sent yet wait until @p until. */
    void holdForCanary(time_point until);
    /** Ends the canary phase after the end of a sub-request; false when the query ends because a server closed the connection. */
    bool passCanary(std::optional<shard_failure> failed, time_point now);
    void leaveOpen(std::uint32_t shard, shard_progress::state state);
    void setDue(shard_progress &shard, time_point due);
    time_point effectiveDue(const shard_progress &shard) const;
    void runDue(time_point now, query_actions &out);
    void countSentFirsts(time_point now);
    void revoke(const sub_record &record, time_point now);
    bool mayEnd(time_point now) const;
    void settle(time_point now, query_actions &out);
    void finish(time_point now, query_actions &out);

    std::shared_ptr<const query_plan> m_plan;
    query_options m_options;
    extra_load_budget &m_budget;
    std::vector<shard_progress> m_shards;
    std::vector<sub_record> m_subs;
    std::vector<std::uint32_t> m_open; ///< Shards without an answer, in no order.
    std::vector<std::optional<std::string>> m_results;
    coverage m_coverage;
    dropped_answers m_dropped;
    time_point m_deadline{};
    time_point m_goodEnough{};
    time_point m_holdUntil{};
    time_point m_nextDue = time_point::max();
    std::size_t m_holdCount = 0;
    std::int64_t m_uncountedFirsts = 0; ///< Sent by the last events, and still without an answer about their permits.
    time_point m_uncountedSince{};
    bool m_started = false;
    bool m_ended = false;
    bool m_goodEnoughPassed = false;
    bool m_held = true; ///< Hedges are held back.
    bool m_restartWanted = false;
    bool m_canaryRuns = false;
    time_point m_canaryUntil; ///< The other shards wait for the canary until then.
    std::uint32_t m_canaryShard = 0;
};

} // namespace snipefall
