#pragma once

#include <algorithm>
#include <deque>
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
     * With penalty n, a node probes n + 1 times more slowly and waits n + 1 times longer for answers, because the cause may be the node itself. Silent relays
     * raise it only if nothing else has answered the node either, or once they have proved that they live.
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

    /**
     * Notes that something other than a member, such as the store, answered this node at @p at: the node's own network works.
     *
     * A member's answer to a probe shows the same. Without either, members that don't answer are taken for a sign that this node is cut off or slow.
     */
    void noteOutsideAnswer(time_point at) { m_lastAnswer = std::max(m_lastAnswer, at); }

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
    enum class probe_purpose
    {
        scheduled, ///< The probe of this interval.
        silent_relay, ///< Whether a relay that has not answered lives.
        search, ///< Whether more members are lost.
    };
    struct pending_probe
    {
        node_id target;
        time_point lastAttemptAt;
        time_point nextAttemptAt;
        time_point deadline;
        probe_purpose purpose = probe_purpose::scheduled;
        int attempts = 1;
        std::size_t relayRequests = 0;
        std::size_t relayAnswers = 0;
        std::set<node_id> silentRelays; ///< Relays that have answered none of the requests.
    };
    using pending_probes = std::map<std::uint64_t, pending_probe>; ///< By the number of the probe.
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
    void runProbes(time_point now, datagrams &out);
    void startScheduledProbe(time_point now, datagrams &out);
    void startProbe(time_point now, const node_id &target, probe_purpose purpose, datagrams &out);
    void retryProbe(std::uint64_t number, pending_probe &probe, datagrams &out);
    void sendPingRequests(std::uint64_t number, pending_probe &probe, datagrams &out);
    void failProbe(time_point now, std::uint64_t number, datagrams &out);
    /** Probes the relays of a failed probe that were silent, which may be lost like its target, and then other members. */
    void searchLostMembers(time_point now, const std::set<node_id> &silentRelays, datagrams &out);
    /** Whether anything has answered this node since the last attempt, so that its own network works. */
    bool hasAnswerSince(const pending_probe &probe) const { return m_lastAnswer >= probe.lastAttemptAt; }
    /** Whether this node took the sender for lost although its process has run on, and was not started again. */
    bool wasWronglyLost(const node_id &sender, const gossip_message &message) const;
    /** Whether no member has sent a message for so long that this node may be cut off from all of them. */
    bool hearsNobody(time_point now) const;
    /** Whether an additional probe of the member may start: it is neither suspected nor being probed. */
    bool canSearch(const node_id &target) const;
    bool isBeingProbed(const node_id &target) const;
    void expireRelayedProbes(time_point now, datagrams &out);
    void reconnect(time_point now, datagrams &out);
    std::optional<node_id> nextProbeTarget();
    gossip_message ping(const node_id &target, std::uint64_t number) const;
    void handleClaimAboutSelf(const member_update &update);
    void answerPing(const node_id &sender, const std::string &senderAddress, const gossip_message &message, datagrams &out) const;
    void relayPing(time_point now, const node_id &sender, const std::string &senderAddress, const gossip_message &message, datagrams &out);
    void handleAck(time_point now, const node_id &sender, const gossip_message &message, datagrams &out);
    void handleNack(time_point now, const node_id &sender, const gossip_message &message);
    void raiseIncarnation(incarnation claimed);
    /** The change of the health penalty by the answer to a probe. */
    static int penaltyOfAnswer(probe_purpose purpose);
    void adjustHealthPenalty(int delta);
    member_update selfUpdate() const { return {m_self, node_id()}; }

    membership_settings m_settings;
    member m_self;
    member_list m_list;
    std::mt19937_64 m_random;
    std::vector<std::string> m_seeds;
    std::vector<std::string> m_addressHints;
    std::vector<node_id> m_probeOrder; ///< Members still to be probed in this round, next one last.
    pending_probes m_pendingProbes;
    std::deque<std::uint64_t> m_failedNumbers; ///< Numbers of the last failed probes, whose answers may still arrive.
    std::map<std::uint64_t, relayed_probe> m_relayedProbes;
    std::uint64_t m_lastProbeNumber = 0;
    std::size_t m_reconnectAttempts = 0;
    int m_selfSendsLeft = 0; ///< Remaining sends of this node's own record.
    int m_healthPenalty = 0;
    std::optional<time_point> m_lastTick;
    time_point m_nextProbe;
    time_point m_nextReconnect;
    time_point m_lastHeard; ///< When a member last sent a message to this node.
    time_point m_lastAnswer; ///< When a member or something outside last answered a message of this node.
    std::vector<member_event> m_events;
    std::vector<probe_failure> m_failedProbes;
};

} // namespace snipefall
