#include "policy/member_list.h"

#include <algorithm>
#include <cmath>

namespace snipefall {

namespace {

constexpr duration TOMBSTONE_CHECK_INTERVAL = std::chrono::seconds(10);
/** Limits memory use; further unknown members are ignored. */
constexpr std::size_t MAX_RECORDS = 4096;

bool isGone(member_state state)
{
    return !isLive(state);
}

} // namespace

member_list::member_list(const membership_settings &settings, node_id self)
    : m_settings(settings)
    , m_self(std::move(self))
{
}

bool member_list::apply(time_point now, const member_update &update, claim_source source, const node_id &sender)
{
    if (update.subject.id.empty() || update.subject.id == m_self) {
        return false;
    }
    switch (update.subject.state) {
    case member_state::alive:
        return applyAlive(now, update, source);
    case member_state::suspect:
        return applySuspect(now, update, source);
    case member_state::dead:
    case member_state::left:
        break;
    }
    const member *known = find(update.subject.id);
    if (source == claim_source::sync && update.subject.state == member_state::dead && known != nullptr && isLive(known->state)) {
        member_update suspectClaim = update;
        suspectClaim.subject.state = member_state::suspect;
        suspectClaim.accuser = sender;
        return applySuspect(now, suspectClaim, source);
    }
    return applyGone(now, update, source);
}

bool member_list::applyAlive(time_point now, const member_update &update, claim_source source)
{
    const auto found = m_records.find(update.subject.id);
    if (found == m_records.end()) {
        if (m_records.size() >= MAX_RECORDS) {
            return false;
        }
        replaceRecord(now, m_records[update.subject.id], update, source);
        emit(member_event_kind::joined, update.subject);
        return true;
    }
    record &known = found->second;
    if (update.subject.started <= known.data.started) {
        if (update.subject.started == known.data.started) {
            known.data.configVersion = std::max(known.data.configVersion, update.subject.configVersion);
        }
        return false;
    }
    const member before = known.data;
    replaceRecord(now, known, update, source);
    if (isGone(before.state)) {
        emit(member_event_kind::joined, update.subject);
    } else if (before.state == member_state::suspect) {
        emit(member_event_kind::refuted, update.subject);
    }
    const bool addressChanged = before.peerAddress != update.subject.peerAddress || before.callerAddress != update.subject.callerAddress;
    if (isLive(before.state) && (addressChanged || before.state == member_state::alive)) {
        emit(member_event_kind::restarted, update.subject);
    }
    return true;
}

bool member_list::applySuspect(time_point now, const member_update &update, claim_source source)
{
    const auto found = m_records.find(update.subject.id);
    if (found == m_records.end() || update.subject.started > found->second.data.started) {
        // A suspicion with a newer incarnation implies that the member was alive with it.
        member_update alive = update;
        alive.subject.state = member_state::alive;
        if (!applyAlive(now, alive, source)) {
            return false;
        }
    }
    record &known = m_records.find(update.subject.id)->second;
    if (update.subject.started < known.data.started || isGone(known.data.state)) {
        return false;
    }
    if (known.data.state == member_state::alive) {
        const double decades = std::log10(static_cast<double>(m_live.size()) + 1.0);
        const auto extra = static_cast<duration::rep>(decades * static_cast<double>(m_settings.suspicionPerDecade.count()));
        const duration shortest = m_settings.suspicionBase + duration(extra);
        const auto longest = duration(static_cast<duration::rep>(m_settings.suspicionMaxFactor * static_cast<double>(shortest.count())));
        // A small cluster hasn't enough members to confirm the suspicion.
        const std::size_t confirmations = m_live.size() < m_settings.suspicionConfirmations + 2 ? 0 : m_settings.suspicionConfirmations;
        known.data.state = member_state::suspect;
        known.stateChangedAt = now;
        known.activeSuspicion.emplace(now, shortest, longest, confirmations);
        m_suspects.insert(known.data.id);
        emit(member_event_kind::suspected, known.data);
    }
    if (!known.activeSuspicion->confirm(update.accuser)) {
        return false;
    }
    known.accuser = update.accuser;
    m_broadcasts.add(known.data.id.str());
    return true;
}

bool member_list::applyGone(time_point now, const member_update &update, claim_source source)
{
    const auto found = m_records.find(update.subject.id);
    if (found == m_records.end() || update.subject.started < found->second.data.started || isGone(found->second.data.state)) {
        return false;
    }
    replaceRecord(now, found->second, update, source);
    emit(update.subject.state == member_state::dead ? member_event_kind::died : member_event_kind::departed, update.subject);
    return true;
}

void member_list::replaceRecord(time_point now, record &target, const member_update &update, claim_source source)
{
    const bool wasLive = !target.data.id.empty() && isLive(target.data.state);
    if (wasLive) {
        removeLive(target);
    }
    target.data = update.subject;
    target.accuser = node_id();
    target.activeSuspicion.reset();
    target.stateChangedAt = now;
    m_suspects.erase(target.data.id);
    if (isLive(target.data.state)) {
        addLive(target);
    }
    if (source == claim_source::broadcasts) {
        m_broadcasts.add(target.data.id.str());
    }
}

void member_list::addLive(record &target)
{
    ++m_liveVersion;
    target.livePosition = m_live.size();
    m_live.push_back(target.data.id);
    ++m_liveAddresses[target.data.peerAddress];
    m_digest.toggle(target.data.id.str(), target.data.started.value(), 0);
}

void member_list::removeLive(record &target)
{
    ++m_liveVersion;
    m_digest.toggle(target.data.id.str(), target.data.started.value(), 0);
    const auto address = m_liveAddresses.find(target.data.peerAddress);
    if (--address->second == 0) {
        m_liveAddresses.erase(address);
    }
    m_live[target.livePosition] = m_live.back();
    m_records.find(m_live.back())->second.livePosition = target.livePosition;
    m_live.pop_back();
}

void member_list::noteConfigVersion(const node_id &id, config_version version)
{
    const auto found = m_records.find(id);
    if (found != m_records.end()) {
        found->second.data.configVersion = version;
    }
}

void member_list::tick(time_point now)
{
    std::vector<member_update> expired;
    for (const node_id &id : m_suspects) {
        const record &known = m_records.find(id)->second;
        if (known.activeSuspicion->deadline() <= now) {
            expired.push_back({known.data, node_id()});
            expired.back().subject.state = member_state::dead;
        }
    }
    for (const member_update &update : expired) {
        applyGone(now, update, claim_source::broadcasts);
    }
    if (now < m_lastTombstoneCheck + TOMBSTONE_CHECK_INTERVAL) {
        return;
    }
    m_lastTombstoneCheck = now;
    for (auto it = m_records.begin(); it != m_records.end();) {
        const bool removable = isGone(it->second.data.state) && it->second.stateChangedAt + m_settings.tombstoneRetention <= now;
        if (removable) {
            m_broadcasts.remove(it->first.str());
        }
        it = removable ? m_records.erase(it) : std::next(it);
    }
}

void member_list::extendSuspicions(duration pause)
{
    for (const node_id &id : m_suspects) {
        m_records.find(id)->second.activeSuspicion->extend(pause);
    }
}

void member_list::withdrawClaimsSince(time_point now, time_point since)
{
    for (auto &[id, known] : m_records) {
        const member_state state = known.data.state;
        if (known.stateChangedAt < since || !isPresumedLost(state)) {
            continue;
        }
        known.data.state = member_state::alive;
        known.accuser = node_id();
        known.activeSuspicion.reset();
        known.stateChangedAt = now;
        m_suspects.erase(id);
        if (state == member_state::dead) {
            addLive(known);
        }
        emit(state == member_state::dead ? member_event_kind::joined : member_event_kind::refuted, known.data);
    }
    m_broadcasts = broadcast_queue();
}

const member *member_list::find(const node_id &id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second.data;
}

std::optional<member_update> member_list::claim(const node_id &id) const
{
    const auto found = m_records.find(id);
    if (found == m_records.end()) {
        return std::nullopt;
    }
    return member_update{found->second.data, found->second.accuser};
}

std::vector<node_id> member_list::dead() const
{
    std::vector<node_id> result;
    for (const auto &[id, known] : m_records) {
        // A replacement VM may reuse the address of a dead member, which then can't be reached there.
        if (known.data.state == member_state::dead && !knowsLiveAddress(known.data.peerAddress)) {
            result.push_back(id);
        }
    }
    return result;
}

std::vector<member> member_list::all() const
{
    std::vector<member> result;
    result.reserve(m_records.size());
    for (const auto &[id, known] : m_records) {
        result.push_back(known.data);
    }
    return result;
}

std::vector<node_id> member_list::randomLive(std::mt19937_64 &random, std::size_t count, const node_id &excluded) const
{
    std::vector<node_id> result;
    const std::size_t available = m_live.size();
    if (available <= count + 1 || !m_suspects.empty()) {
        std::copy_if(m_live.begin(), m_live.end(), std::back_inserter(result), [&](const node_id &id) { return id != excluded; });
        std::shuffle(result.begin(), result.end(), random);
        std::stable_partition(result.begin(), result.end(), [this](const node_id &id) { return m_suspects.count(id) == 0; });
        result.resize(std::min(result.size(), count));
        return result;
    }
    while (result.size() < count) {
        const node_id &candidate = m_live[random() % available];
        if (candidate != excluded && std::find(result.begin(), result.end(), candidate) == result.end()) {
            result.push_back(candidate);
        }
    }
    return result;
}

void member_list::emit(member_event_kind kind, const member &subject)
{
    m_events.push_back({kind, subject});
}

std::vector<member_event> member_list::takeEvents()
{
    return std::exchange(m_events, {});
}

} // namespace snipefall
