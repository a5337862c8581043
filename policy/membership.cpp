#include "policy/membership.h"

#include <algorithm>

#include "policy/datagram_groups.h"

namespace snipefall {

namespace {

/** Members that are told directly when a node leaves. */
constexpr std::size_t LEAVE_FANOUT = 6;
/** Seeds that are probed at once while joining. */
constexpr std::size_t JOIN_FANOUT = 3;
/**
 * Direct pings of one probe within its interval; from the third on, relays are asked as well.
 *
 * With a single ping and one round of relays, 10% loss makes 0.8% of the probes fail. Each failure is disseminated to all, so that the traffic of a node
 * would grow with the size.
 */
constexpr int PROBE_ATTEMPTS = 4;
constexpr int FIRST_INDIRECT_ATTEMPT = 3;
/** News that is sent the full number of times; more news at once, for example at a common start, is sent less often and left to anti-entropy. */
constexpr std::size_t FULL_SEND_BACKLOG = 32;
constexpr int MIN_SENDS = 2;
/** Bounds the memory for probes on behalf of others. */
constexpr std::size_t MAX_RELAYED = 1024;

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
        // The first probe starts at a random phase, so that nodes started together don't probe together.
        m_nextProbe = now + duration(static_cast<duration::rep>(m_random() % static_cast<std::uint64_t>(m_settings.probeInterval.count())));
        m_nextRecovery = now;
    } else {
        absorbPause(now);
    }
    m_lastTick = now;
    m_list.tick(now);
    expireRelays(now, out);
    runProbe(now, out);
    recover(now, out);
    return out;
}

void membership::absorbPause(time_point now)
{
    const duration gap = now - *m_lastTick;
    if (gap < m_settings.pauseThreshold) {
        return;
    }
    // Answers that came during the pause may still be unread, so nobody is accused for it.
    m_probe.reset();
    m_relayed.clear();
    m_list.extendSuspicions(gap);
    m_nextProbe = now;
}

void membership::runProbe(time_point now, datagrams &out)
{
    if (m_probe && m_probe->attempts < PROBE_ATTEMPTS && now >= m_probe->nextAttempt) {
        m_probe->nextAttempt = now + m_settings.probeTimeout * (m_healthPenalty + 1);
        retryProbe(out);
    }
    if (m_probe && now >= m_probe->deadline) {
        failProbe(now);
    }
    if (!m_probe && now >= m_nextProbe) {
        startProbe(now, out);
    }
}

void membership::startProbe(time_point now, datagrams &out)
{
    const int factor = m_healthPenalty + 1;
    m_nextProbe = now + m_settings.probeInterval * factor;
    const auto target = nextTarget();
    if (!target) {
        return;
    }
    const std::uint64_t number = ++m_number;
    m_probe = pending_probe{*target, number, now + m_settings.probeTimeout * factor, m_nextProbe};
    out.push_back({m_list.find(*target)->peerAddress, *target, ping(*target, number)});
}

void membership::retryProbe(datagrams &out)
{
    out.push_back({m_list.find(m_probe->target)->peerAddress, m_probe->target, ping(m_probe->target, m_probe->number)});
    if (++m_probe->attempts >= FIRST_INDIRECT_ATTEMPT) {
        askRelays(out);
    }
}

gossip_message membership::ping(const node_id &target, std::uint64_t number) const
{
    gossip_message message;
    message.type = gossip_type::ping;
    message.probe = number;
    const auto known = m_list.claim(target);
    if (known && known->subject.state != member_state::alive) {
        // A suspected or dead member learns it from the probe and refutes at once.
        message.updates.push_back(*known);
    }
    if (!known || !isLive(known->subject.state)) {
        message.updates.push_back(selfUpdate());
    }
    return message;
}

std::optional<node_id> membership::nextTarget()
{
    // Each round probes all members once in random order, which bounds the time until a failure is seen.
    for (int round = 0; round < 2; ++round) {
        while (!m_order.empty()) {
            const node_id candidate = m_order.back();
            m_order.pop_back();
            const member *known = m_list.find(candidate);
            if (known != nullptr && isLive(known->state)) {
                return candidate;
            }
        }
        m_order = m_list.live();
        std::shuffle(m_order.begin(), m_order.end(), m_random);
    }
    return std::nullopt;
}

void membership::askRelays(datagrams &out)
{
    const member *target = m_list.find(m_probe->target);
    const std::vector<node_id> relays = m_list.randomLive(m_random, m_settings.relays, m_probe->target);
    m_probe->nacksExpected += relays.size();
    for (const node_id &relay : relays) {
        gossip_message message;
        message.type = gossip_type::ping_request;
        message.probe = m_probe->number;
        message.target = target->id;
        message.targetAddress = target->peerAddress;
        out.push_back({m_list.find(relay)->peerAddress, relay, std::move(message)});
    }
}

void membership::failProbe(time_point now)
{
    const pending_probe failed = *m_probe;
    m_probe.reset();
    // Relays that don't even send a nack point to a fault of this node's own network or processor.
    changeHealth(failed.nacksExpected > 0 ? static_cast<int>(failed.nacksExpected - std::min(failed.nacks, failed.nacksExpected)) : 1);
    const auto known = m_list.claim(failed.target);
    if (!known || !isLive(known->subject.state)) {
        return;
    }
    member_update doubt{known->subject, m_self.id};
    doubt.subject.state = member_state::suspect;
    m_list.apply(now, doubt, member_list::claim_source::news, m_self.id);
}

void membership::expireRelays(time_point now, datagrams &out)
{
    for (auto &[number, relayed] : m_relayed) {
        if (relayed.nacked || relayed.nackAt > now) {
            continue;
        }
        relayed.nacked = true;
        gossip_message nack;
        nack.type = gossip_type::nack;
        nack.probe = relayed.originNumber;
        out.push_back({relayed.originAddress, relayed.origin, std::move(nack)});
    }
    std::erase_if(m_relayed, [&](const auto &entry) { return entry.second.deadline <= now; });
}

void membership::recover(time_point now, datagrams &out)
{
    if (now < m_nextRecovery) {
        return;
    }
    const bool alone = m_list.live().empty();
    m_nextRecovery = now + (alone ? m_settings.joinInterval : m_settings.recoveryInterval);
    std::vector<std::string> unknown;
    for (const auto *addresses : {&m_seeds, &m_hints}) {
        std::copy_if(addresses->begin(), addresses->end(), std::back_inserter(unknown), [&](const std::string &address) {
            return address != m_self.peerAddress && !m_list.knowsLiveAddress(address);
        });
    }
    std::shuffle(unknown.begin(), unknown.end(), m_random);
    const std::vector<node_id> dead = m_list.dead();
    // Dead members and unknown addresses take turns.
    if (!dead.empty() && (unknown.empty() || ++m_recoveries % 2 == 0)) {
        const node_id &target = dead[m_random() % dead.size()];
        out.push_back({m_list.find(target)->peerAddress, target, ping(target, ++m_number)});
        unknown.clear();
    }
    unknown.resize(std::min(unknown.size(), alone ? JOIN_FANOUT : 1));
    for (const std::string &address : unknown) {
        out.push_back({address, node_id(), ping(node_id(), ++m_number)});
    }
}

std::vector<outgoing_gossip> membership::receive(time_point now, const node_id &sender, const std::string &from, const gossip_message &message)
{
    datagrams out;
    const auto source = message.type == gossip_type::sync ? member_list::claim_source::sync : member_list::claim_source::news;
    for (const member_update &update : message.updates) {
        if (update.subject.id == m_self.id) {
            applyAboutSelf(update);
            continue;
        }
        m_list.apply(now, update, source, sender);
    }
    switch (message.type) {
    case gossip_type::ping:
        answerPing(sender, from, message, out);
        break;
    case gossip_type::ping_request:
        relayPing(now, sender, from, message, out);
        break;
    case gossip_type::ack:
        handleAck(sender, message, out);
        break;
    case gossip_type::nack:
        if (m_probe && m_probe->number == message.probe) {
            ++m_probe->nacks;
        }
        break;
    case gossip_type::news:
    case gossip_type::pull:
    case gossip_type::sync:
        break;
    }
    return out;
}

void membership::answerPing(const node_id &sender, const std::string &from, const gossip_message &message, datagrams &out) const
{
    gossip_message ack;
    ack.type = gossip_type::ack;
    ack.probe = message.probe;
    // A ping with the sender's own record comes from a node that doesn't hold this one as live.
    const auto introduction =
        std::find_if(message.updates.begin(), message.updates.end(), [&](const member_update &update) { return update.subject.id == sender; });
    const auto known = m_list.claim(sender);
    const bool older = known && introduction != message.updates.end() && introduction->subject.started < known->subject.started;
    if (known && (older || known->subject.state != member_state::alive)) {
        ack.updates.push_back(*known);
    }
    if (introduction != message.updates.end()) {
        ack.updates.push_back(selfUpdate());
    }
    out.push_back({from, sender, std::move(ack)});
}

void membership::relayPing(time_point now, const node_id &sender, const std::string &from, const gossip_message &message, datagrams &out)
{
    if (message.target.empty() || message.targetAddress.empty() || m_relayed.size() >= MAX_RELAYED) {
        return;
    }
    const std::uint64_t number = ++m_number;
    m_relayed[number] = relayed_probe{sender, from, message.probe, now + m_settings.probeTimeout / 2, now + m_settings.probeInterval};
    out.push_back({message.targetAddress, message.target, ping(message.target, number)});
}

void membership::handleAck(const node_id &sender, const gossip_message &message, datagrams &out)
{
    if (m_probe && m_probe->number == message.probe) {
        m_probe.reset();
        changeHealth(-1);
        return;
    }
    const auto relayed = m_relayed.find(message.probe);
    if (relayed == m_relayed.end()) {
        return;
    }
    gossip_message ack;
    ack.type = gossip_type::ack;
    ack.probe = relayed->second.originNumber;
    ack.target = sender;
    out.push_back({relayed->second.originAddress, relayed->second.origin, std::move(ack)});
    m_relayed.erase(relayed);
}

void membership::applyAboutSelf(const member_update &update)
{
    if (m_self.state == member_state::left || update.subject.started < m_self.started) {
        return;
    }
    if (update.subject.state == member_state::alive) {
        if (update.subject.started == m_self.started) {
            return;
        }
        if (update.subject.peerAddress != m_self.peerAddress) {
            // A newer process owns this id; raising the incarnation would start an endless contest.
            m_events.push_back({member_event_kind::id_conflict, update.subject});
            return;
        }
    } else {
        changeHealth(1);
    }
    raiseIncarnation(update.subject.started);
}

void membership::raiseIncarnation(incarnation claimed)
{
    m_self.refutations += claimed.next().value() - m_self.started.value();
    m_self.started = claimed.next();
    m_selfNews = sendLimit();
}

void membership::changeHealth(int delta)
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

std::size_t membership::appendNews(gossip_message &message, std::size_t budget)
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
    if (m_selfNews > 0 && append(selfUpdate())) {
        --m_selfNews;
    }
    const int backlogFactor = static_cast<int>(1 + m_list.news().size() / FULL_SEND_BACKLOG);
    m_list.news().collect(std::max(MIN_SENDS, sendLimit() / backlogFactor), [&](const std::string &key) { return append(*m_list.claim(node_id(key))); });
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
    return groupForDatagrams(std::move(wanted), budget, groups, firstBucket);
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
