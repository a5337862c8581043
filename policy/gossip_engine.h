#pragma once

#include <optional>
#include <string>
#include <vector>

#include "policy/digest_mismatch_tracker.h"
#include "policy/fact_table.h"
#include "policy/gossip_events.h"
#include "policy/gossip_settings.h"
#include "policy/membership.h"

namespace snipefall {

/**
 * Disseminates membership updates, facts and the configuration version; all three share the same datagrams.
 *
 * Each node that learns an update pushes it to a few random members until it has sent it about log n times. Updates that are lost all the same are found
 * by comparing the digests that every datagram carries, and are pulled (anti-entropy). The class does no input or output: it returns the datagrams to send.
 */
class gossip_engine
{
public:
    gossip_engine(const gossip_settings &settings, member self, std::uint64_t seed);

    /** Expires facts, sends probes and broadcasts that are due and returns their datagrams. Must be called at least every 100 ms. */
    std::vector<outgoing_gossip> tick(time_point now);
    /** Handles a message that @p sender sent from @p senderAddress ("ip:port"); returns the answers. */
    std::vector<outgoing_gossip> receive(time_point now, const node_id &sender, const std::string &senderAddress, const gossip_message &message);
    /** Returns datagrams that announce to a few random members that this node is leaving the cluster. */
    std::vector<outgoing_gossip> leave(time_point now);

    /** Publishes a fact with this node as its origin; fails like fact_table::publish(). */
    outcome<fact> publish(time_point now, fact item);
    /** Sends pending broadcasts before the next tick, unless some were sent within the last gossip_settings::broadcastInterval. */
    std::vector<outgoing_gossip> flushBroadcasts(time_point now);
    /** Records and announces the configuration version of this node. Versions that are not newer than the current one are ignored. */
    void setConfigVersion(config_version version);

    membership &nodes() { return m_membership; }
    const membership &nodes() const { return m_membership; }
    const fact_table &facts() const { return m_facts; }
    /** Changes whenever the live members or the draining nodes change, because these are the inputs of placement. */
    std::uint64_t placementVersion() const { return m_membership.liveVersion() + m_facts.versionOf(fact_kind::draining_node); }
    /** Returns and clears the events since the last call. */
    gossip_events takeEvents();

private:
    using datagrams = std::vector<outgoing_gossip>;

    void sendBroadcasts(time_point now, datagrams &out);
    void compareDigests(time_point now, const node_id &sender, const std::string &senderAddress, const gossip_message &message, datagrams &out);
    void pull(time_point now, const node_id &sender, const std::string &senderAddress, const gossip_message &message, std::uint64_t pullRound, datagrams &out);
    bool isJoining(time_point now) const { return m_started && now < *m_started + m_settings.joinPhase; }
    void answerPull(time_point now, const node_id &sender, const std::string &senderAddress, const gossip_message &message, datagrams &out);
    void noteConfigVersion(time_point now, const node_id &sender, const std::string &senderAddress, config_version version);
    /** Adds the digests, the configuration version and pending updates to each datagram and deducts its size from the send budget. */
    void piggybackAndCharge(time_point now, datagrams &out);
    void refillBudget(time_point now);
    bool hasPendingBroadcasts() const { return m_membership.hasPendingBroadcasts() || m_facts.hasPendingBroadcasts() || m_configSendsLeft > 0; }

    gossip_settings m_settings;
    membership m_membership;
    fact_table m_facts;
    gossip_events m_events;
    int m_configSendsLeft = 0; ///< Remaining sends of a new configuration version.
    double m_sendBudgetBytes; ///< Bytes that may be sent now (token bucket); negative after probes, which are sent regardless.
    bool m_reservesForMembers = false; ///< Alternates with each datagram; when true, half of the free bytes are reserved for member updates.
    std::optional<time_point> m_started;
    time_point m_budgetRefilledAt;
    time_point m_nextBroadcast;
    time_point m_nextExpiry;
    time_point m_lastPull;
    time_point m_lastNewerConfigReport;
    config_version m_highestReportedConfig;
    digest_mismatch_tracker m_memberMismatch;
    digest_mismatch_tracker m_factMismatch;
};

} // namespace snipefall
