#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "policy/broadcast_queue.h"
#include "policy/bucket_digest.h"
#include "policy/member_event.h"
#include "policy/member_update.h"
#include "policy/membership_settings.h"
#include "policy/suspicion.h"

namespace snipefall {

/**
 * The members that a node knows, without itself, and the precedence rules for claims about them.
 *
 * A higher incarnation wins; at the same incarnation dead and left win over suspect, and suspect wins over alive.
 */
class member_list
{
public:
    member_list(const membership_settings &settings, node_id self);

    /** How a claim was received. Claims in a sync may be outdated, for example after a network partition has healed. */
    enum class claim_source
    {
        broadcasts, ///< Received as a broadcast, thus recent: a claim of death is accepted and claims are rebroadcast.
        sync, ///< Received in a sync, possibly outdated: a claim of death only starts a suspicion, and other claims aren't rebroadcast.
    };

    /** Applies a claim that @p sender sent about another member. Returns true if it changed the record. */
    bool apply(time_point now, const member_update &update, claim_source source, const node_id &sender);

    /** Records the configuration version that a member reported about itself. */
    void noteConfigVersion(const node_id &id, config_version version);

    /** Declares members dead whose suspicion has timed out, and removes expired tombstones. */
    void tick(time_point now);

    /** Extends all suspicions by the time during which this process was paused. */
    void extendSuspicions(duration pause);

    /** Takes members that became suspect or dead at @p since or later for alive again, and drops all pending broadcasts. */
    void withdrawClaimsSince(time_point now, time_point since);

    /** The member's record, or null. */
    const member *find(const node_id &id) const;
    /** The current claim about a known member. */
    std::optional<member_update> claim(const node_id &id) const;

    /** Live members in no particular order. */
    const std::vector<node_id> &live() const { return m_live; }
    /** Dead members that may still run on the other side of a network partition. */
    std::vector<node_id> dead() const;
    /** All known members, tombstones included. */
    std::vector<member> all() const;
    /** Changes whenever a member becomes live, stops being live or gets a new incarnation, but not with suspicions or configuration versions. */
    std::uint64_t liveVersion() const { return m_liveVersion; }
    bool knowsLiveAddress(const std::string &peerAddress) const { return m_liveAddresses.count(peerAddress) > 0; }

    /** Returns up to @p count distinct random live members other than @p excluded; suspects only if there are too few others. */
    std::vector<node_id> randomLive(std::mt19937_64 &random, std::size_t count, const node_id &excluded) const;

    broadcast_queue &broadcasts() { return m_broadcasts; }
    const broadcast_queue &broadcasts() const { return m_broadcasts; }
    bucket_digest &digest() { return m_digest; }
    const bucket_digest &digest() const { return m_digest; }

    /** Returns and clears the events since the last call. */
    std::vector<member_event> takeEvents();

private:
    struct record
    {
        member data;
        node_id accuser;
        std::optional<suspicion> activeSuspicion; ///< Set while the member is suspect.
        time_point stateChangedAt; ///< When the state last changed.
        std::size_t livePosition = 0; ///< Index in m_live.
    };

    bool applyAlive(time_point now, const member_update &update, claim_source source);
    bool applySuspect(time_point now, const member_update &update, claim_source source);
    bool applyGone(time_point now, const member_update &update, claim_source source);
    void replaceRecord(time_point now, record &target, const member_update &update, claim_source source);
    void addLive(record &target);
    void removeLive(record &target);
    void emit(member_event_kind kind, const member &subject);

    membership_settings m_settings;
    node_id m_self;
    std::map<node_id, record> m_records;
    std::vector<node_id> m_live;
    std::uint64_t m_liveVersion = 0;
    std::map<std::string, int> m_liveAddresses; ///< Number of live members at each peer address.
    std::set<node_id> m_suspects;
    broadcast_queue m_broadcasts;
    bucket_digest m_digest;
    time_point m_lastTombstoneCheck;
    std::vector<member_event> m_events;
};

} // namespace snipefall
