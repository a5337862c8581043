#pragma once

#include <optional>
#include <vector>

#include "core/outcome.h"
#include "policy/permit_action.h"
#include "policy/permit_inputs.h"
#include "policy/permit_lease.h"
#include "policy/permit_successor.h"
#include "policy/promise_answer.h"

namespace snipefall {

/** Interval between lease renewals. Four in a row may fail before the lease ends. */
constexpr duration PERMIT_RENEW_INTERVAL = std::chrono::seconds(1);
/** Time-out of platform requests and promise requests; a later answer is treated as lost. */
constexpr duration PERMIT_ANSWER_TIMEOUT = std::chrono::seconds(1);
/** Interval between reads of the record of a service for which the node neither is nor should become a holder. */
constexpr duration PERMIT_IDLE_READ_INTERVAL = std::chrono::seconds(10);

/**
 * Manages one node's share of the permits of one service, which limit the load on its backend servers.
 *
 * It renews the lease of the share, takes over the share of a failed predecessor in the ring, hands excess permits over to other holders, and, as the
 * designated successor of its predecessor, promises not to take over so that the predecessor can renew while the platform is unavailable.
 *
 * A state machine without input or output: the node performs the actions that tick() returns and passes their answers back. All times are those of the
 * node's monotonic clock.
 */
class permit_holder
{
public:
    permit_holder(node_id self, incarnation started);

    /** Handles timeouts and returns the actions that are due. Must be called at least every 200 ms, and should be called after each answer. */
    std::vector<permit_action> tick(time_point now, const permit_inputs &inputs);

    /** Handles the answer to a read_permits. If the platform has no record (not_found), pass a value with version 0. */
    void handleReadAnswer(std::uint64_t operation, time_point now, const outcome<versioned_permits> &answer);
    /**
     * Handles the answer to a write_permits: the new version or a failure.
     *
     * With conflict or unavailable (not sent) the write had no effect; after any other failure it may have taken effect or may still do so.
     */
    void handleWriteAnswer(std::uint64_t operation, time_point now, const outcome<object_version> &answer);
    /** Handles the answer to an ask_promise. */
    void handlePromiseAnswer(std::uint64_t operation, time_point now, const outcome<promise_answer> &answer);

    /** Answers the promise request of another holder; grants it only as its designated successor with a valid lease and the same version of the record. */
    promise_answer answerPromise(const promise_request &request, time_point now);

    /** The permits that this node may use on each backend server at @p now. Must be checked before each request is sent. */
    permit_share usable(time_point now) const;
    /** When the lease ends. */
    time_point usableUntil() const { return m_lease.usableUntil(); }
    /** The newest record that this node has received; none before the first answer. */
    const std::optional<versioned_permits> &permits() const { return m_permits; }

private:
    /** Reason for a write of the record. */
    enum class change_kind
    {
        create, ///< The service has no record yet.
        reclaim, ///< A restarted node replaces the entry of its previous incarnation.
        take_over, ///< A node receives the share of a failed or removed holder.
        rebalance, ///< Moves the record towards the placement; see nextRebalancingChange().
    };

    /** A write whose outcome is not known yet. */
    struct pending_write
    {
        versioned_permits permits;
        change_kind kind = change_kind::rebalance;
        std::uint64_t operation = 0; ///< Number of the last request that sent it.
        time_point sentAt;
        bool inFlight = true;
        bool mayBeApplied = false; ///< An answer was lost, so the write may have taken effect or may still do so.
        bool conflicted = false; ///< A conflict was answered after a lost answer. A read shows whether this write or another one changed the record.
    };

    struct request_in_flight
    {
        std::uint64_t operation = 0;
        time_point sentAt;
    };

    struct proposal
    {
        permit_record record;
        change_kind kind = change_kind::rebalance;
    };

    void adoptRecord(const versioned_permits &permits, time_point now);
    void applyShare(time_point now, bool byTakeover);
    void expireRequests(time_point now);
    const permit_entry *ownEntry() const;
    std::optional<proposal> propose(time_point now, const permit_inputs &inputs) const;
    std::optional<proposal> proposeAsNonHolder(const permit_inputs &inputs) const;
    void proposeChange(time_point now, const permit_inputs &inputs, std::vector<permit_action> &actions);
    void renew(time_point now, const permit_inputs &inputs, std::vector<permit_action> &actions);
    void sendPending(time_point now, std::vector<permit_action> &actions);
    void requestPromise(time_point now, std::vector<permit_action> &actions);
    permit_share ownShareIn(const permit_record &record) const;

    node_id m_self;
    incarnation m_started;
    std::optional<versioned_permits> m_permits;
    permit_lease m_lease;
    permit_successor m_successorState;
    std::optional<pending_write> m_pending;
    std::optional<request_in_flight> m_read;
    std::optional<request_in_flight> m_promiseRequest;
    std::optional<permit_share> m_handOverCap; ///< Share after a hand-over; limits use while the hand-over waits until the excess is no longer in use.
    std::optional<time_point> m_lastPlatformRequest;
    std::optional<time_point> m_lastPromiseRequest;
    std::uint64_t m_lastOperation = 0;
    bool m_platformUnavailable = false;
};

} // namespace snipefall
