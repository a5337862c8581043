#include "policy/membership.h"

#include <algorithm>

#include "policy/datagram_groups.h"

namespace snipefall {

namespace {

/** Number of members to which a leaving node announces it directly. */
constexpr std::size_t LEAVE_FANOUT = 6;
/** Number of addresses that are probed at a time while no live member is known. */
constexpr std::size_t JOIN_FANOUT = 3;
/**
 * Number of direct pings of one probe within its interval; from the third on, relays are asked to ping the target as well.
 *
 * With a single ping and one round of relays, 0.8% of the probes fail at 10% packet loss. Each failed probe is broadcast to all members, so the traffic of
 * a node would grow with the size of the cluster.
 */
constexpr int PROBE_ATTEMPTS = 4;
constexpr int FIRST_INDIRECT_ATTEMPT = 3;
/** With more pending updates than this, for example when all nodes start together, each is sent less often and anti-entropy delivers the rest. */
constexpr std::size_t FULL_SEND_BACKLOG = 32;
constexpr int MIN_SENDS = 2;
/** Number of relays that are asked in the last attempt. A single answer shows that the network of this node works, however many members are lost. */
constexpr std::size_t LAST_ATTEMPT_RELAYS = 8;
/** Limits the memory for probes relayed for other nodes; further requests are ignored. */
constexpr std::size_t MAX_RELAYED_PROBES = 1024;
/** Limits the traffic of a node that searches for lost members; a probe without an answer takes some 2 KB. */
constexpr std::size_t MAX_PENDING_PROBES = 64;
constexpr std::size_t MAX_FAILED_NUMBERS = 64;
/** A node in contact with others hears from one of them about once a second. */
constexpr duration SILENCE_TIMEOUT = std::chrono::seconds(2);
/** Number of additional probes that a failed one starts while silent relays suggest that many members are lost. */
constexpr std::size_t SEARCH_FANOUT = 3;

} // namespace

membership::membership(const membership_settings &settings, member self, std::uint64_t seed)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_list(settings, m_self.id)
    , m_random(seed)
{
    m_self.state = member_state::alive;
}

std::vector<outgoing_gossip> membership::tick(time_point now)
{
    datagrams out;
    if (!m_lastTick) {
        // The first probe is delayed by a random part of the interval, so that nodes started together don't probe at the same time.
        m_nextProbe = now + duration(static_cast<duration::rep>(m_random() % static_cast<std::uint64_t>(m_settings.probeInterval.count())));
        m_nextReconnect = now;
    } else {
        handleProcessPause(now);
    }
    m_lastTick = now;
    m_list.tick(now);
    expireRelayedProbes(now, out);
    runProbes(now, out);
    reconnect(now, out);
    return out;
}

void membership::handleProcessPause(time_point now)
{
    const duration gap = now - *m_lastTick;
    if (gap < m_settings.pauseThreshold) {
        return;
    }
    // Answers that arrived during the pause may still be unread, so pending probes are dropped instead of failed and suspicions are extended.
    m_pendingProbes.clear();
    m_relayedProbes.clear();
    m_list.extendSuspicions(gap);
    m_nextProbe = now;
}

void membership::runProbes(time_point now, datagrams &out)
{
    std::vector<std::uint64_t> failed;
    for (auto &[number, probe] : m_pendingProbes) {
        if (now >= probe.deadline) {
            failed.push_back(number);
        } else if (probe.attempts < PROBE_ATTEMPTS && now >= probe.nextAttemptAt) {
            const duration timeout = m_settings.probeTimeout * (m_healthPenalty + 1);
            probe.lastAttemptAt = now;
            probe.nextAttemptAt += timeout;
            // Leaves time for the answers of relays, although a late tick delayed the attempt.
            probe.deadline = std::max(probe.deadline, now + timeout);
            retryProbe(number, probe, out);
        }
    }
    for (const std::uint64_t number : failed) {
        failProbe(now, number, out);
    }
    const bool waitsForScheduled =
        std::any_of(m_pendingProbes.begin(), m_pendingProbes.end(), [](const auto &item) { return item.second.purpose == probe_purpose::scheduled; });
    if (!waitsForScheduled && now >= m_nextProbe) {
        startScheduledProbe(now, out);
    }
}

void membership::startScheduledProbe(time_point now, datagrams &out)
{
    m_nextProbe = now + m_settings.probeInterval * (m_healthPenalty + 1);
    // Suspects may well be lost, so a probe of one doesn't take the place of that of another member.
    for (std::size_t suspects = 0; suspects <= SEARCH_FANOUT; ++suspects) {
        const auto target = nextProbeTarget();
        if (!target || isBeingProbed(*target)) {
            return;
        }
        startProbe(now, *target, probe_purpose::scheduled, out);
        if (m_list.find(*target)->state == member_state::alive) {
            return;
        }
    }
}

void membership::startProbe(time_point now, const node_id &target, probe_purpose purpose, datagrams &out)
{
    const int slowdown = m_healthPenalty + 1;
    const std::uint64_t number = ++m_lastProbeNumber;
    pending_probe &probe = m_pendingProbes[number];
    probe.target = target;
    probe.lastAttemptAt = now;
    probe.nextAttemptAt = now + m_settings.probeTimeout * slowdown;
    probe.deadline = now + m_settings.probeInterval * slowdown;
    probe.purpose = purpose;
    out.push_back({m_list.find(target)->peerAddress, target, ping(target, number)});
}

void membership::retryProbe(std::uint64_t number, pending_probe &probe, datagrams &out)
{
    out.push_back({m_list.find(probe.target)->peerAddress, probe.target, ping(probe.target, number)});
    if (++probe.attempts >= FIRST_INDIRECT_ATTEMPT) {
        sendPingRequests(number, probe, out);
    }
}

gossip_message membership::ping(const node_id &target, std::uint64_t number) const
{
    gossip_message message;
    message.type = gossip_type::ping;
    message.probe = number;
    const auto known = m_list.claim(target);
    if (known && known->subject.state != member_state::alive) {
        // Tells the target that it is suspected or was declared dead, so that it can refute at once.
        message.updates.push_back(*known);
    }
    if (!known || !isLive(known->subject.state)) {
        message.updates.push_back(selfUpdate());
    }
    return message;
}

std::optional<node_id> membership::nextProbeTarget()
{
    // Each round probes every live member once, in random order, which bounds the time to detect a failure.
    for (int round = 0; round < 2; ++round) {
        while (!m_probeOrder.empty()) {
            const node_id candidate = m_probeOrder.back();
            m_probeOrder.pop_back();
            const member *known = m_list.find(candidate);
            if (known != nullptr && isLive(known->state)) {
                return candidate;
            }
        }
        m_probeOrder = m_list.live();
        std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
    }
    return std::nullopt;
}

void membership::sendPingRequests(std::uint64_t number, pending_probe &probe, datagrams &out)
{
    const member *target = m_list.find(probe.target);
    const std::size_t count = probe.attempts < PROBE_ATTEMPTS ? m_settings.relays : LAST_ATTEMPT_RELAYS;
    const std::vector<node_id> relays = m_list.randomLive(m_random, count, probe.target);
    probe.relayRequests += relays.size();
    for (const node_id &relay : relays) {
        probe.silentRelays.insert(relay);
        gossip_message message;
        message.type = gossip_type::ping_request;
        message.probe = number;
        message.target = target->id;
        message.targetAddress = target->peerAddress;
        out.push_back({m_list.find(relay)->peerAddress, relay, std::move(message)});
    }
}

void membership::failProbe(time_point now, std::uint64_t number, datagrams &out)
{
    const pending_probe failed = std::move(m_pendingProbes.extract(number).mapped());
    m_failedNumbers.push_back(number);
    if (m_failedNumbers.size() > MAX_FAILED_NUMBERS) {
        m_failedNumbers.pop_front();
    }
    if (hasAnswerSince(failed)) {
        searchLostMembers(now, failed.silentRelays, out);
    } else {
        // Nothing answers: the fault may lie with the network or processor of this node.
        const std::size_t unanswered = failed.relayRequests - std::min(failed.relayAnswers, failed.relayRequests);
        adjustHealthPenalty(failed.relayRequests > 0 ? static_cast<int>(unanswered) : 1);
    }
    m_failedProbes.push_back({failed.target, failed.relayRequests, failed.relayAnswers, m_healthPenalty});
    const auto known = m_list.claim(failed.target);
    if (!known || !isLive(known->subject.state)) {
        return;
    }
    member_update suspectClaim{known->subject, m_self.id};
    suspectClaim.subject.state = member_state::suspect;
    m_list.apply(now, suspectClaim, member_list::claim_source::broadcasts, m_self.id);
}

void membership::searchLostMembers(time_point now, const std::set<node_id> &silentRelays, datagrams &out)
{
    if (silentRelays.empty()) {
        return;
    }
    std::size_t started = 0;
    for (const node_id &relay : silentRelays) {
        if (canSearch(relay)) {
            startProbe(now, relay, probe_purpose::silent_relay, out);
            ++started;
        }
    }
    std::vector<node_id> others = m_list.live();
    std::shuffle(others.begin(), others.end(), m_random);
    for (const node_id &other : others) {
        if (started >= SEARCH_FANOUT) {
            return;
        }
        if (canSearch(other)) {
            startProbe(now, other, probe_purpose::search, out);
            ++started;
        }
    }
}

bool membership::canSearch(const node_id &target) const
{
    const member *known = m_list.find(target);
    return known && known->state == member_state::alive && m_pendingProbes.size() < MAX_PENDING_PROBES && !isBeingProbed(target);
}

bool membership::isBeingProbed(const node_id &target) const
{
    return std::any_of(m_pendingProbes.begin(), m_pendingProbes.end(), [&](const auto &item) { return item.second.target == target; });
}

bool membership::wasWronglyLost(const node_id &sender, const gossip_message &message) const
{
    const member *known = m_list.find(sender);
    if (!known || !isPresumedLost(known->state)) {
        return false;
    }
    return std::none_of(message.updates.begin(), message.updates.end(), [&](const member_update &update) {
        return update.subject.id == sender && update.subject.firstStarted() != known->firstStarted();
    });
}

bool membership::hearsNobody(time_point now) const
{
    return now - m_lastHeard >= SILENCE_TIMEOUT;
}

void membership::expireRelayedProbes(time_point now, datagrams &out)
{
    for (auto &[number, relayed] : m_relayedProbes) {
        if (relayed.nacked || relayed.nackAt > now) {
            continue;
        }
        relayed.nacked = true;
        gossip_message nack;
        nack.type = gossip_type::nack;
        nack.probe = relayed.originNumber;
        out.push_back({relayed.originAddress, relayed.origin, std::move(nack)});
    }
    std::erase_if(m_relayedProbes, [&](const auto &entry) { return entry.second.deadline <= now; });
}

void membership::reconnect(time_point now, datagrams &out)
{
    if (now < m_nextReconnect) {
        return;
    }
    const bool isolated = m_list.live().empty();
    m_nextReconnect = now + (isolated ? m_settings.joinInterval : m_settings.reconnectInterval);
    std::vector<std::string> unconnected;
    for (const auto *addresses : {&m_seeds, &m_addressHints}) {
        std::copy_if(addresses->begin(), addresses->end(), std::back_inserter(unconnected), [&](const std::string &address) {
            return address != m_self.peerAddress && !m_list.knowsLiveAddress(address);
        });
    }
    std::shuffle(unconnected.begin(), unconnected.end(), m_random);
    const std::vector<node_id> dead = m_list.dead();
    // Alternates between dead members and addresses without a live member.
    if (!dead.empty() && (unconnected.empty() || ++m_reconnectAttempts % 2 == 0)) {
        const node_id &target = dead[m_random() % dead.size()];
        out.push_back({m_list.find(target)->peerAddress, target, ping(target, ++m_lastProbeNumber)});
        unconnected.clear();
    }
    unconnected.resize(std::min(unconnected.size(), isolated ? JOIN_FANOUT : 1));
    for (const std::string &address : unconnected) {
        out.push_back({address, node_id(), ping(node_id(), ++m_lastProbeNumber)});
    }
}

std::vector<outgoing_gossip> membership::receive(time_point now, const node_id &sender, const std::string &senderAddress, const gossip_message &message)
{
    datagrams out;
    if (hearsNobody(now) && wasWronglyLost(sender, message)) {
        // A member that this node took for lost lives, so this node was cut off, and what it found since tells nothing of the others either.
        m_list.withdrawClaimsSince(now, m_lastHeard);
        m_pendingProbes.clear();
    }
    m_lastHeard = now;
    const auto source = message.type == gossip_type::sync ? member_list::claim_source::sync : member_list::claim_source::broadcasts;
    for (const member_update &update : message.updates) {
        if (update.subject.id == m_self.id) {
            handleClaimAboutSelf(update);
            continue;
        }
        m_list.apply(now, update, source, sender);
    }
    switch (message.type) {
    case gossip_type::ping:
        answerPing(sender, senderAddress, message, out);
        break;
    case gossip_type::ping_request:
        relayPing(now, sender, senderAddress, message, out);
        break;
    case gossip_type::ack:
        handleAck(now, sender, message, out);
        break;
    case gossip_type::nack:
        handleNack(now, sender, message);
        break;
    case gossip_type::broadcasts:
    case gossip_type::pull:
    case gossip_type::sync:
        break;
    }
    return out;
}

void membership::answerPing(const node_id &sender, const std::string &senderAddress, const gossip_message &message, datagrams &out) const
{
    gossip_message ack;
    ack.type = gossip_type::ack;
    ack.probe = message.probe;
    // A node includes its own record in a ping if it doesn't list this node as live, and gets this node's record in return.
    const auto introduction =
        std::find_if(message.updates.begin(), message.updates.end(), [&](const member_update &update) { return update.subject.id == sender; });
    const auto known = m_list.claim(sender);
    const bool senderIsOutdated = known && introduction != message.updates.end() && introduction->subject.started < known->subject.started;
    if (known && (senderIsOutdated || known->subject.state != member_state::alive)) {
        ack.updates.push_back(*known);
    }
    if (introduction != message.updates.end()) {
        ack.updates.push_back(selfUpdate());
    }
    out.push_back({senderAddress, sender, std::move(ack)});
}

void membership::relayPing(time_point now, const node_id &sender, const std::string &senderAddress, const gossip_message &message, datagrams &out)
{
    if (message.target.empty() || message.targetAddress.empty() || m_relayedProbes.size() >= MAX_RELAYED_PROBES) {
        return;
    }
    const std::uint64_t number = ++m_lastProbeNumber;
    m_relayedProbes[number] = relayed_probe{sender, senderAddress, message.probe, now + m_settings.probeTimeout / 2, now + m_settings.probeInterval};
    out.push_back({message.targetAddress, message.target, ping(message.target, number)});
}

void membership::handleNack(time_point now, const node_id &sender, const gossip_message &message)
{
    m_lastAnswer = now;
    const auto pending = m_pendingProbes.find(message.probe);
    if (pending == m_pendingProbes.end()) {
        return;
    }
    pending->second.silentRelays.erase(sender);
    ++pending->second.relayAnswers;
}

void membership::handleAck(time_point now, const node_id &sender, const gossip_message &message, datagrams &out)
{
    m_lastAnswer = now;
    if (const auto pending = m_pendingProbes.find(message.probe); pending != m_pendingProbes.end()) {
        adjustHealthPenalty(penaltyOfAnswer(pending->second.purpose));
        m_pendingProbes.erase(pending);
        return;
    }
    if (std::erase(m_failedNumbers, message.probe) > 0) {
        adjustHealthPenalty(1);
        return;
    }
    const auto relayed = m_relayedProbes.find(message.probe);
    if (relayed == m_relayedProbes.end()) {
        return;
    }
    gossip_message ack;
    ack.type = gossip_type::ack;
    ack.probe = relayed->second.originNumber;
    ack.target = sender;
    out.push_back({relayed->second.originAddress, relayed->second.origin, std::move(ack)});
    m_relayedProbes.erase(relayed);
}

void membership::handleClaimAboutSelf(const member_update &update)
{
    if (m_self.state == member_state::left || update.subject.started < m_self.started) {
        return;
    }
    if (update.subject.state == member_state::alive) {
        if (update.subject.started == m_self.started) {
            return;
        }
        if (update.subject.peerAddress != m_self.peerAddress) {
            // A newer process at another address uses this id. If this node raised its incarnation, both processes would keep overriding each other.
            m_events.push_back({member_event_kind::id_conflict, update.subject});
            return;
        }
    } else {
        adjustHealthPenalty(1);
    }
    raiseIncarnation(update.subject.started);
}

void membership::raiseIncarnation(incarnation claimed)
{
    m_self.refutations += claimed.next().value() - m_self.started.value();
    m_self.started = claimed.next();
    m_selfSendsLeft = sendLimit();
}

int membership::penaltyOfAnswer(probe_purpose purpose)
{
    switch (purpose) {
    case probe_purpose::scheduled:
        return -1;
    case probe_purpose::silent_relay:
        return 1; // The relay lives, so its silence points to a fault of this node.
    case probe_purpose::search:
        break;
    }
    return 0;
}

void membership::adjustHealthPenalty(int delta)
{
    m_healthPenalty = std::clamp(m_healthPenalty + delta, 0, MAX_HEALTH_PENALTY);
}

std::vector<outgoing_gossip> membership::leave(time_point)
{
    m_self.state = member_state::left;
    datagrams out;
    for (const node_id &id : m_list.randomLive(m_random, LEAVE_FANOUT, node_id())) {
        gossip_message message;
        message.updates.push_back(selfUpdate());
        out.push_back({m_list.find(id)->peerAddress, id, std::move(message)});
    }
    return out;
}

std::size_t membership::appendPendingUpdates(gossip_message &message, std::size_t budget)
{
    std::size_t used = 0;
    const auto append = [&](const member_update &update) {
        const std::size_t size = encodedSizeBound(update);
        if (used + size > budget) {
            return false;
        }
        used += size;
        message.updates.push_back(update);
        return true;
    };
    if (m_selfSendsLeft > 0 && append(selfUpdate())) {
        --m_selfSendsLeft;
    }
    // Claims of a node that may be cut off would make its peers take each other for lost once it is back.
    if (m_lastTick && hearsNobody(*m_lastTick)) {
        return used;
    }
    const int backlogFactor = static_cast<int>(1 + m_list.broadcasts().size() / FULL_SEND_BACKLOG);
    m_list.broadcasts().collect(std::max(MIN_SENDS, sendLimit() / backlogFactor), [&](const std::string &key) { return append(*m_list.claim(node_id(key))); });
    return used;
}

std::vector<std::vector<member_update>>
membership::differing(const std::vector<std::uint32_t> &theirs, std::size_t budget, std::size_t groups, std::size_t firstBucket) const
{
    const auto differs = digest().differing(theirs);
    std::vector<std::pair<std::size_t, member_update>> wanted;
    const auto offer = [&](const member_update &update) {
        const std::size_t bucket = bucket_digest::bucketOf(update.subject.id.str());
        if (differs[bucket]) {
            wanted.emplace_back(bucket, update);
        }
    };
    offer(selfUpdate());
    for (const member &known : m_list.all()) {
        offer(*m_list.claim(known.id));
    }
    return packIntoGroups(std::move(wanted), budget, groups, firstBucket);
}

bucket_digest membership::digest() const
{
    bucket_digest result = m_list.digest();
    if (isLive(m_self.state)) {
        result.toggle(m_self.id.str(), m_self.started.value(), 0);
    }
    return result;
}

std::vector<member_event> membership::takeEvents()
{
    std::vector<member_event> events = m_list.takeEvents();
    events.insert(events.end(), m_events.begin(), m_events.end());
    m_events.clear();
    return events;
}

} // namespace snipefall
