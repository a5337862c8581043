#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "platform/version_move.h"
#include "policy/canary_limits.h"
#include "policy/canary_move.h"
#include "policy/fact.h"
#include "policy/fault_detector.h"
#include "policy/version_share.h"

namespace snipefall {

class store_client;
struct sub_answer_sample;
struct tier_blackboard;

/**
 * Carries out the moves between versions that operators order through the store.
 *
 * Every node divides its own requests by its own clock, counts their answers, and tells the others what it counted. Each decides by the sum; whoever finds a
 * fault stops the target version on all nodes at once and records it. Of several nodes that would write the same, one writes first and the others wait for it.
 */
class move_driver
{
public:
    /** How a driver reaches the other nodes. */
    struct peer_access
    {
        std::function<void(fact)> publish;
        std::function<std::vector<fact>(fact_kind)> facts; ///< All facts of a kind, this node's included.
        std::function<std::size_t()> rank; ///< The number of live nodes that act before this one.
    };

    move_driver(store_client &store, tier_blackboard &board, node_id self);

    void setPeers(peer_access peers) { m_peers = std::move(peers); }
    /** This node's part of what the target versions may get; holds for orders that come later. */
    void setLimits(const canary_limits &limits) { m_limits = limits; }

    /** Takes over all orders of the store. */
    void replaceAll(const std::vector<version_move> &moves);
    void apply(const version_move &move);
    /** The order was removed; no version is preferred any more. */
    void remove(const std::string &name);

    /** True if answers of the service's servers are to be recorded. */
    bool watches(const service_id &service) const { return m_moves.contains(service); }
    void record(const service_id &service, const version_id &version, sub_answer_sample sample);
    /** Takes over that a peer found the target version faulty. */
    void learn(const fact &news);
    /** Decides and writes what is due; to be called a few times a second. */
    void runDue(time_point now);
    std::size_t running() const;

private:
    struct running_move
    {
        running_move(const version_move &ordered, const canary_limits &limits, time_point seenAt);

        version_move order;
        canary_move course;
        fault_detector detector;
        std::uint64_t answers = 0; ///< Of both versions, that this node saw.
        std::string fault; ///< Why the target gets nothing; empty while it is not known to be faulty.
        time_point countsToldAt{};
        time_point dueSince{}; ///< Since when a record is due.
        time_point writtenAt{};
        bool writing = false;
    };

    void run(running_move &move, time_point now);
    void tellCounts(running_move &move, const move_observations &own, time_point now);
    move_observations countsOfAllNodes(const running_move &move, move_observations own) const;
    void stopTarget(running_move &move, const std::string &reason);
    void write(running_move &move, move_outcome recorded, const std::string &reason, time_point now);
    void publishShares(time_point now);
    version_share shareOf(const running_move &move, time_point now) const;

    store_client &m_store;
    tier_blackboard &m_board;
    node_id m_self;
    peer_access m_peers;
    canary_limits m_limits;
    std::map<service_id, std::unique_ptr<running_move>> m_moves;
};

} // namespace snipefall
