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
 * The members that a node knows, without itself, and the rules by which claims about them replace each other.
 *
 * A higher incarnation wins; at the same incarnation dead and left win over suspect, and suspect wins over alive.
 */
class member_list
{
public:
    member_list(const membership_settings &settings, node_id self);

    /** Where a claim comes from. */
    enum class claim_source
    {
        news, ///< Fresh; a death is believed.
        sync, ///< May be old, for example from the other side of a healed split; a death is only a suspicion, and other claims aren't passed on.
    };

    /** Applies a claim about another member. Returns true when it changed anything. */
    bool apply(time_point now, const member_update &update, claim_source source, const node_id &sender);

    /** Notes the configuration version of a member, as heard from itself. */
    void noteConfigVersion(const node_id &id, config_version version);

    /** Declares suspects dead whose time to refute is over, and forgets old tombstones. */
    void tick(time_point now);

    /** Gives all suspicions the time back during which this process was paused. */
    void extendSuspicions(duration pause);

    /** The member's record, or null. */
    const member *find(const node_id &id) const;
    /** The current claim about a known member. */
    std::optional<member_update> claim(const node_id &id) const;

    /** Live members in no particular order. */
    const std::vector<node_id> &live() const { return m_live; }
    /** Dead members that may be on the other side of a split. */
    std::vector<node_id> dead() const;
    /** All known members, tombstones included. */
    std::vector<member> all() const;
    /** Changes whenever a member becomes live, restarts with another record or is no longer live; not with suspicions or configuration versions. */
    std::uint64_t liveVersion() const { return m_liveVersion; }
    bool knowsLiveAddress(const std::string &peerAddress) const { return m_liveAddresses.count(peerAddress) > 0; }

    /** Up to @p count different random live members without @p excluded. */
    std::vector<node_id> randomLive(std::mt19937_64 &random, std::size_t count, const node_id &excluded) const;

    broadcast_queue &news() { return m_news; }
    const broadcast_queue &news() const { return m_news; }
    bucket_digest &digest() { return m_digest; }
    const bucket_digest &digest() const { return m_digest; }

    std::vector<member_event> takeEvents();

private:
    struct record
    {
        member data;
        node_id accuser;
        std::optional<suspicion> doubt;
        time_point since;
        std::size_t livePosition = 0;
    };

    bool applyAlive(time_point now, const member_update &update, claim_source source);
    bool applySuspect(time_point now, const member_update &update, claim_source source);
    bool applyGone(time_point now, const member_update &update, claim_source source);
    void setRecord(time_point now, record &target, const member_update &update, claim_source source);
    void addLive(record &target);
    void removeLive(record &target);
    void emit(member_event_kind kind, const member &subject);

    membership_settings m_settings;
    node_id m_self;
    std::map<node_id, record> m_records;
    std::vector<node_id> m_live;
    std::uint64_t m_liveVersion = 0;
    std::map<std::string, int> m_liveAddresses;
    std::set<node_id> m_suspects;
    broadcast_queue m_news;
    bucket_digest m_digest;
    time_point m_tombstonesChecked;
    std::vector<member_event> m_events;
};

} // namespace snipefall
