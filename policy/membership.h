#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "policy/member_list.h"
#include "policy/membership_settings.h"
#include "policy/outgoing_gossip.h"
#include "policy/probe_failure.h"

namespace snipefall {

/**
 * Membership and failure detection between nodes: SWIM with suspicion, plus the local health multiplier of Lifeguard.
 *
 * A state machine without input or output: it returns the datagrams to send. Each node probes one member per interval, independent of the cluster size.
 */
class membership
{
public:
    /**
     * Maximum of healthPenalty(), which failed probes raise.
     *
     * With penalty n, a node probes n + 1 times more slowly and waits n + 1 times longer for answers, because the cause may be the node itself.
     */
    static constexpr int MAX_HEALTH_PENALTY = 7;

    membership(const membership_settings &settings, member self, std::uint64_t seed);

    /** Sets the addresses of nodes to join through. Each is probed until a live member is known there. */
    void setSeeds(std::vector<std::string> addresses) { m_seeds = std::move(addresses); }
    /**
     * Sets addresses from the platform's VM list, which are probed like seeds.
     *
     * The list may be outdated, so a listed address doesn't make a member live, and a missing one doesn't make it dead.
     */
    void setAddressHints(std::vector<std::string> addresses) { m_addressHints = std::move(addresses); }

    /** Sends probes and handles timeouts that are due. Must be called at least every 100 ms; a gap of membership_settings::pauseThreshold counts as a pause. */
    std::vector<outgoing_gossip> tick(time_point now);

    /** Handles a message that @p sender sent from @p senderAddress ("ip:port"); returns the answers. */
    std::vector<outgoing_gossip> receive(time_point now, const node_id &sender, const std::string &senderAddress, const gossip_message &message);

    /** Marks this node as left and returns datagrams that announce it to a few random members, which rebroadcast it. */
    std::vector<outgoing_gossip> leave(time_point now);

    /** Appends pending updates of at most @p budget bytes to @p message; returns the bytes used. */
    std::size_t appendPendingUpdates(gossip_message &message, std::size_t budget);
    bool hasPendingBroadcasts() const { return m_selfSendsLeft > 0 || !m_list.broadcasts().empty(); }

    /** Returns the records in buckets that differ from @p theirs, in at most @p groups groups of @p budget bytes each, starting at @p firstBucket. */
    std::vector<std::vector<member_update>>
    differing(const std::vector<std::uint32_t> &theirs, std::size_t budget, std::size_t groups, std::size_t firstBucket) const;

    /** The digest of all live members, including this node. */
    bucket_digest digest() const;

    void setConfigVersion(config_version version) { m_self.configVersion = version; }
    void noteConfigVersion(const node_id &id, config_version version) { m_list.noteConfigVersion(id, version); }

    const member &self() const { return m_self; }
    const member_list &others() const { return m_list; }
    std::vector<node_id> randomLive(std::size_t count, const node_id &excluded = node_id()) { return m_list.randomLive(m_random, count, excluded); }
    /** Like member_list::liveVersion(), but also changes when this node leaves. */
    std::uint64_t liveVersion() const { return m_list.liveVersion() + (m_self.state == member_state::left ? 1 : 0); }
    int healthPenalty() const { return m_healthPenalty; }
    /** How often each update is sent; see broadcast_queue::sendLimit(). */
    int sendLimit() const { return broadcast_queue::sendLimit(m_list.live().size()); }
    std::size_t randomBucket() { return m_random() % bucket_digest::BUCKETS; }
    /** Returns and clears the events since the last call. */
    std::vector<member_event> takeEvents();
    /** Returns and clears the probes that failed since the last call. */
    std::vector<probe_failure> takeFailedProbes() { return std::exchange(m_failedProbes, {}); }

private:
    struct pending_probe
    {
        node_id target;
        std::uint64_t number = 0;
        time_point nextAttemptAt;
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
        time_point nackAt; ///< Half a probe timeout after the request, so that even the nack of the last attempt arrives within the interval.
        time_point deadline;
        bool nacked = false;
    };
    using datagrams = std::vector<outgoing_gossip>;

    void handleProcessPause(time_point now);
    void runProbe(time_point now, datagrams &out);
    void startProbe(time_point now, datagrams &out);
    void retryProbe(datagrams &out);
    void sendPingRequests(datagrams &out);
    void failProbe(time_point now);
    void expireRelayedProbes(time_point now, datagrams &out);
    void reconnect(time_point now, datagrams &out);
    std::optional<node_id> nextProbeTarget();
    gossip_message ping(const node_id &target, std::uint64_t number) const;
    void handleClaimAboutSelf(const member_update &update);
    void answerPing(const node_id &sender, const std::string &senderAddress, const gossip_message &message, datagrams &out) const;
    void relayPing(time_point now, const node_id &sender, const std::string &senderAddress, const gossip_message &message, datagrams &out);
    void handleAck(const node_id &sender, const gossip_message &message, datagrams &out);
    void raiseIncarnation(incarnation claimed);
    void adjustHealthPenalty(int delta);
    member_update selfUpdate() const { return {m_self, node_id()}; }

    membership_settings m_settings;
    member m_self;
    member_list m_list;
    std::mt19937_64 m_random;
    std::vector<std::string> m_seeds;
    std::vector<std::string> m_addressHints;
    std::vector<node_id> m_probeOrder; ///< Members still to be probed in this round, next one last.
    std::optional<pending_probe> m_pendingProbe;
    std::map<std::uint64_t, relayed_probe> m_relayedProbes;
    std::uint64_t m_lastProbeNumber = 0;
    std::size_t m_reconnectAttempts = 0;
    int m_selfSendsLeft = 0; ///< Remaining sends of this node's own record.
    int m_healthPenalty = 0;
    std::optional<time_point> m_lastTick;
    time_point m_nextProbe;
    time_point m_nextReconnect;
    std::vector<member_event> m_events;
    std::vector<probe_failure> m_failedProbes;
};

} // namespace snipefall
