#pragma once

#include <optional>
#include <string>
#include <vector>

#include "policy/digest_watch.h"
#include "policy/fact_table.h"
#include "policy/gossip_events.h"
#include "policy/gossip_settings.h"
#include "policy/membership.h"

namespace snipefall {

/**
 * Membership, facts and the configuration version in shared datagrams.
 *
 * News is pushed to a few random members until each holder has sent it about log n times; what is lost nevertheless is found by the digests in every
 * datagram and pulled. All datagrams are returned as values.
 */
class gossip_engine
{
public:
    gossip_engine(const gossip_settings &settings, member self, std::uint64_t seed);

    /** Runs what is due; to be called at least every 100 ms. */
    std::vector<outgoing_gossip> tick(time_point now);
    std::vector<outgoing_gossip> receive(time_point now, const node_id &sender, const std::string &from, const gossip_message &message);
    /** Datagrams that tell a few members that this node stops. */
    std::vector<outgoing_gossip> leave(time_point now);

    /** Publishes a fact of this node; see fact_table::publish. */
    outcome<fact> publish(time_point now, fact item);
    /** Sends waiting news without waiting for the next tick, unless that was just done. */
    std::vector<outgoing_gossip> pushNews(time_point now);
    /** Announces a newer configuration of this node. */
    void setConfigVersion(config_version version);

    membership &nodes() { return m_membership; }
    const membership &nodes() const { return m_membership; }
    const fact_table &facts() const { return m_facts; }
    /** Changes with the live members and with the nodes that drain, thus with all that placement depends on. */
    std::uint64_t placementVersion() const { return m_membership.liveVersion() + m_facts.versionOf(fact_kind::draining_node); }
    gossip_events takeEvents();

private:
    using datagrams = std::vector<outgoing_gossip>;

    void spreadNews(time_point now, datagrams &out);
    void compareDigests(time_point now, const node_id &sender, const std::string &from, const gossip_message &message, datagrams &out);
    void pull(time_point now, const node_id &sender, const std::string &from, const gossip_message &message, std::uint64_t turn, datagrams &out);
    bool joining(time_point now) const { return m_started && now < *m_started + m_settings.joinPhase; }
    void answerPull(time_point now, const node_id &sender, const std::string &from, const gossip_message &message, datagrams &out);
    void noteConfigVersion(time_point now, const node_id &sender, const std::string &from, config_version version);
    void finish(time_point now, datagrams &out);
    void refillBudget(time_point now);
    bool hasNews() const { return m_membership.hasNews() || m_facts.hasNews() || m_announcements > 0; }

    gossip_settings m_settings;
    membership m_membership;
    fact_table m_facts;
    gossip_events m_events;
    int m_announcements = 0; ///< Sends of the configuration version that are left.
    double m_budget;
    bool m_sharesEvenly = false;
    std::optional<time_point> m_started;
    time_point m_budgetAt;
    time_point m_nextNews;
    time_point m_nextExpiry;
    time_point m_lastPull;
    time_point m_lastAhead;
    config_version m_highestAhead;
    digest_watch m_memberWatch;
    digest_watch m_factWatch;
};

} // namespace snipefall
