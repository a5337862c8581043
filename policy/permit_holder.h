#pragma once

#include <optional>
#include <vector>

#include "core/outcome.h"
#include "policy/permit_action.h"
#include "policy/permit_lease.h"
#include "policy/permit_surroundings.h"
#include "policy/permit_taker.h"
#include "policy/promise_answer.h"

namespace snipefall {

/** The time between two renewals of a share, so that four may fail before the lease ends. */
constexpr duration PERMIT_RENEW_INTERVAL = std::chrono::seconds(1);
/** A platform or promise answer that takes longer is treated as lost. */
constexpr duration PERMIT_ANSWER_TIMEOUT = std::chrono::seconds(1);
/** The time between two reads of a record in which the node has no part. */
constexpr duration PERMIT_IDLE_READ_INTERVAL = std::chrono::seconds(10);

/**
 * One node's part in the permits of one service: renews its share, promises as a taker, takes over, hands over, and says what is usable.
 *
 * A pure state machine: the node carries out the actions of tick() and passes their answers back. All times are of the node's monotonic clock.
 */
class permit_holder
{
public:
    permit_holder(node_id self, incarnation started);

    /** Advances the state; call it at least every 200 ms and after each answer that matters. */
    std::vector<permit_action> tick(time_point now, const permit_surroundings &around);

    /** The answer of a read; pass not_found of the platform as a value with version 0. */
    void readAnswered(std::uint64_t operation, time_point now, const outcome<versioned_permits> &answer);
    /** The answer of a write: the new version, conflict, unavailable (not sent) or any other reason (may have taken effect). */
    void writeAnswered(std::uint64_t operation, time_point now, const outcome<object_version> &answer);
    void promiseAnswered(std::uint64_t operation, time_point now, const outcome<promise_answer> &answer);

    /** Decides as the designated taker on the request of another node. */
    promise_answer answerPromise(const promise_request &request, time_point now);

    /** What this node may use on each backend server at @p now; check it before each send. */
    permit_share usable(time_point now) const;
    time_point usableUntil() const { return m_lease.usableUntil(); }
    /** The newest record that this node has seen; none before the first answer. */
    const std::optional<versioned_permits> &permits() const { return m_permits; }

private:
    enum class change_kind
    {
        create,
        reclaim,
        take_over,
        voluntary,
    };

    /** A write that may still take effect. */
    struct pending_write
    {
        versioned_permits permits;
        change_kind kind = change_kind::voluntary;
        std::uint64_t operation = 0; ///< The last time it was sent.
        time_point sentAt;
        bool inFlight = true;
        bool mayBeApplied = false; ///< An answer was lost, so that the write may take effect at any time.
        bool conflicted = false; ///< The record has changed; a read shows by whom.
    };

    struct request_in_flight
    {
        std::uint64_t operation = 0;
        time_point sentAt;
    };

    struct proposal
    {
        permit_record record;
        change_kind kind = change_kind::voluntary;
    };

    void adopt(const versioned_permits &permits, time_point now);
    void applyShare(time_point now, bool byTakeover);
    void expireRequests(time_point now);
    const permit_entry *ownEntry() const;
    std::optional<proposal> propose(time_point now, const permit_surroundings &around) const;
    std::optional<proposal> proposeAsStranger(const permit_surroundings &around) const;
    void change(time_point now, const permit_surroundings &around, std::vector<permit_action> &actions);
    void renew(time_point now, const permit_surroundings &around, std::vector<permit_action> &actions);
    void sendPending(time_point now, std::vector<permit_action> &actions);
    void askTaker(time_point now, std::vector<permit_action> &actions);
    permit_share ownShareIn(const permit_record &record) const;

    node_id m_self;
    incarnation m_started;
    std::optional<versioned_permits> m_permits;
    permit_lease m_lease;
    permit_taker m_taker;
    std::optional<pending_write> m_pending;
    std::optional<request_in_flight> m_read;
    std::optional<request_in_flight> m_promise;
    std::optional<permit_share> m_cap; ///< Set while a hand-over waits until the given part is no longer in use.
    std::optional<time_point> m_lastPlatformRequest;
    std::optional<time_point> m_lastPromiseRequest;
    std::uint64_t m_lastOperation = 0;
    bool m_platformSilent = false;
};

} // namespace snipefall
