#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "policy/member_list.h"
#include "policy/membership_settings.h"
#include "policy/outgoing_gossip.h"

namespace snipefall {

/**
 * Failure detection between nodes: SWIM with suspicion and the local health of Lifeguard.
 *
 * A pure state machine: it returns the datagrams to send. Each probe interval costs one ping whatever the number of members.
 */
class membership
{
public:
    /** Failed probes slow the probes of a node down by up to this factor, because the cause may be the node itself. */
    static constexpr int MAX_HEALTH_PENALTY = 7;

    membership(const membership_settings &settings, member self, std::uint64_t seed);

    /** Addresses of nodes to join through. They are probed until they are known members. */
    void setSeeds(std::vector<std::string> addresses) { m_seeds = std::move(addresses); }
    /** Addresses from the platform's VM list, which lags: they are probed now and then, and nothing is concluded from them. */
    void setHints(std::vector<std::string> addresses) { m_hints = std::move(addresses); }

    /** Runs what is due. To be called at least every 100 ms; a longer gap counts as a pause of the process. */
    std::vector<outgoing_gossip> tick(time_point now);

    /** Handles a message from @p sender at @p from. */
    std::vector<outgoing_gossip> receive(time_point now, const node_id &sender, const std::string &from, const gossip_message &message);

    /** Announces that this node stops; the datagrams tell a few members, which pass it on. */
    std::vector<outgoing_gossip> leave(time_point now);

    /** Appends updates to be disseminated, up to @p budget bytes; returns the bytes used. */
    std::size_t appendNews(gossip_message &message, std::size_t budget);
    bool hasNews() const { return m_selfNews > 0 || !m_list.news().empty(); }

    /** Records in the buckets that differ from @p theirs, in groups of at most @p budget bytes. */
    std::vector<std::vector<member_update>>
    differing(const std::vector<std::uint32_t> &theirs, std::size_t budget, std::size_t groups, std::size_t firstBucket) const;

    /** The digest of all live members, this node included. */
    bucket_digest digest() const;

    void setConfigVersion(config_version version) { m_self.configVersion = version; }
    void noteConfigVersion(const node_id &id, config_version version) { m_list.noteConfigVersion(id, version); }

    const member &self() const { return m_self; }
    const member_list &others() const { return m_list; }
    std::vector<node_id> randomLive(std::size_t count, const node_id &excluded = node_id()) { return m_list.randomLive(m_random, count, excluded); }
    /** Like member_list::liveVersion, with this node included. */
    std::uint64_t liveVersion() const { return m_list.liveVersion() + (m_self.state == member_state::left ? 1 : 0); }
    int healthPenalty() const { return m_healthPenalty; }
    int sendLimit() const { return broadcast_queue::sendLimit(m_list.live().size()); }
    std::size_t randomBucket() { return m_random() % bucket_digest::BUCKETS; }
    std::vector<member_event> takeEvents();

private:
    struct pending_probe
    {
        node_id target;
        std::uint64_t number = 0;
        time_point nextAttempt;
        time_point deadline;
        int attempts = 1;
        std::size_t nacksExpected = 0;
        std::size_t nacks = 0;
    };
    struct relayed_probe
    {
        node_id origin;
        std::string originAddress;
        std::uint64_t originNumber = 0;
        time_point nackAt; ///< Half the probe timeout, so that the nack of the last attempt still arrives within the interval.
        time_point deadline;
        bool nacked = false;
    };
    using datagrams = std::vector<outgoing_gossip>;

    void absorbPause(time_point now);
    void runProbe(time_point now, datagrams &out);
    void startProbe(time_point now, datagrams &out);
    void retryProbe(datagrams &out);
    void askRelays(datagrams &out);
    void failProbe(time_point now);
    void expireRelays(time_point now, datagrams &out);
    void recover(time_point now, datagrams &out);
    std::optional<node_id> nextTarget();
    gossip_message ping(const node_id &target, std::uint64_t number) const;
    void applyAboutSelf(const member_update &update);
    void answerPing(const node_id &sender, const std::string &from, const gossip_message &message, datagrams &out) const;
    void relayPing(time_point now, const node_id &sender, const std::string &from, const gossip_message &message, datagrams &out);
    void handleAck(const node_id &sender, const gossip_message &message, datagrams &out);
    void raiseIncarnation(incarnation claimed);
    void changeHealth(int delta);
    member_update selfUpdate() const { return {m_self, node_id()}; }

    membership_settings m_settings;
    member m_self;
    member_list m_list;
    std::mt19937_64 m_random;
    std::vector<std::string> m_seeds;
    std::vector<std::string> m_hints;
    std::vector<node_id> m_order; ///< The rest of this round of probes.
    std::optional<pending_probe> m_probe;
    std::map<std::uint64_t, relayed_probe> m_relayed;
    std::uint64_t m_number = 0;
    std::size_t m_recoveries = 0;
    int m_selfNews = 0; ///< Sends of this node's own record that are left.
    int m_healthPenalty = 0;
    std::optional<time_point> m_lastTick;
    time_point m_nextProbe;
    time_point m_nextRecovery;
    std::vector<member_event> m_events;
};

} // namespace snipefall
