#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "platform/version_move.h"
#include "policy/canary_limits.h"
#include "policy/fact.h"
#include "policy/fault_detector.h"
#include "policy/move_count_ledger.h"
#include "policy/timed_move_controller.h"
#include "policy/version_share.h"

namespace snipefall {

class store_client;
struct sub_request_sample;
struct tier_blackboard;

/**
 * Carries out the version moves that operators order through the store.
 *
 * Every node splits its own requests between the versions by its own clock, counts their answers, and sends the counts directly to the coordinators, the first
 * nodes by rank. Gossip would repeat each count at every node, which exceeds its rate limit where many nodes share the requests. The coordinators decide by the
 * sum of all counts. A node that finds the target version faulty publishes that to all nodes at once, so that the target gets no more requests anywhere, and
 * records the rollback in the store. A move is only recorded as done after a coordinator has approved the version. Nodes that would write the same status wait
 * according to their rank, so that usually only the first one writes.
 */
class move_driver
{
public:
    /** Functions through which the driver exchanges facts with the other nodes. */
    struct peer_access
    {
        std::function<void(fact)> publish;
        std::function<std::vector<fact>(fact_kind)> facts; ///< All known facts of a kind, including those of this node.
        std::function<std::size_t()> rank; ///< The number of live nodes whose ids sort before this node's.
        std::function<void(const std::string &)> sendToCoordinators; ///< Sends a message to the other nodes among the first COORDINATORS by rank.
    };

    /** Number of nodes that coordinate moves; more than one, because a coordinator may be cut off or restart. */
    static constexpr std::size_t COORDINATORS = 3;

    move_driver(store_client &store, tier_blackboard &board, node_id self);

    void setPeers(peer_access peers) { m_peers = std::move(peers); }
    /** This node's share of the requests that target versions may get; applies to moves that arrive later, not to running ones. */
    void setLimits(const canary_limits &limits) { m_limits = limits; }

    /** Replaces all known moves by the complete list in the store. */
    void replaceAll(const std::vector<version_move> &moves);
    /**
     * Notes that the store came back from a copy that may lack orders and recorded ends. Until @p until, orders that are not listed are kept; an order that is
     * written again, by the name of its creation another one, continues; and a recorded end that the copy lacks is written again.
     */
    void noteStoreRestored(time_point until) { m_keepUnlistedUntil = until; }
    /** Adds a move, which replaces another one of its service, or updates the known one unless @p move is an older revision of it. */
    void apply(const version_move &move);
    /** Forgets the move whose store object has this name; its service no longer prefers any version, but a faulty target stays stopped. */
    void remove(const std::string &name);

    /** True if the service has a move, so that answers of its servers must be passed to record(). */
    bool hasMove(const service_id &service) const { return m_moves.contains(service); }
    /** Counts an answer of a server that runs @p version of the service; ignored unless the service has a move without a recorded end. */
    void record(const service_id &service, const version_id &version, sub_request_sample sample);
    /** Applies a peer's fact that the target version of a move is faulty or was approved. */
    void applyPeerFact(const fact &peerFact);
    /** Applies a peer's report of its answer counts; malformed ones are logged and ignored. */
    void applyCountReport(const node_id &sender, const std::string &payload);
    /** Evaluates all running moves and writes their due status to the store; must be called a few times a second. */
    void runDue(time_point now);
    /** The number of moves without a recorded end. */
    std::size_t running() const;

private:
    struct running_move
    {
        running_move(const version_move &ordered, const canary_limits &limits, time_point seenAt);

        version_move order;
        std::string listedId; ///< The id by which the store lists the order; differs from that of the order if it was created again in a later era.
        timed_move_controller controller;
        fault_detector detector;
        std::uint64_t answers = 0; ///< Answers of both versions that this node received.
        std::string fault; ///< Why the target version gets no requests; empty while no fault is known.
        bool approved = false; ///< A coordinator found no fault until the end of the move.
        move_count_ledger peerCounts;
        std::map<std::string, std::uint64_t> reportedAnswers; ///< By route, the target's answers in the last report to the coordinators.
        time_point countsReportedAt{};
        time_point allCountsReportedAt{};
        time_point countsLoggedAt{};
        time_point writeDueSince{}; ///< Since when a status has been due to be written to the store; the epoch if none is.
        time_point writtenAt{}; ///< Start of the last status write, whether it succeeded or not.
        bool endLost = false; ///< The recorded end has to be written again, because the store came back without it.
        bool writing = false; ///< A status write has no answer yet.
    };

    /** Takes over what the store says of a known order. */
    static void update(running_move &known, const version_move &move);
    /** The move with this id; null if the service has none, or another one. */
    running_move *findMove(const service_id &service, const std::string &moveId);
    void run(running_move &move, time_point now);
    void reportCounts(running_move &move, const move_observations &own, time_point now);
    void logCounts(running_move &move, const move_observations &all, time_point now) const;
    static move_observations countsOfAllNodes(const running_move &move, move_observations own);
    bool isCoordinator() const { return m_peers.rank() < COORDINATORS; }
    void stopTarget(running_move &move, const std::string &reason);
    /** True if a later order moves the service to the version again. */
    bool isOrderedAgain(const service_id &service, const version_id &version, const std::string &moveId) const;
    void approveTarget(running_move &move, const std::string &reason);
    /** Lifts the stop of a target whose move was recorded as done all the same: the servers of the old version are gone by then. */
    void liftStop(const version_move &order);
    void writeStatus(running_move &move, move_outcome recorded, const std::string &reason, time_point now);
    void publishShares(time_point now);
    version_share shareOf(const running_move &move, time_point now) const;

    store_client &m_store;
    tier_blackboard &m_board;
    node_id m_self;
    peer_access m_peers;
    canary_limits m_limits;
    std::map<service_id, std::unique_ptr<running_move>> m_moves;
    std::set<std::string> m_unlisted; ///< Names of the orders that are kept although the store doesn't list them.
    time_point m_keepUnlistedUntil{};
    /** The versions that were found to be faulty, with the id of the move in which they were. Kept until a later move has the same target. */
    std::map<service_id, std::map<version_id, std::string>> m_faultyVersions;
};

} // namespace snipefall
