#include "policy/gossip_engine.h"

#include <algorithm>

namespace snipefall {

namespace {

/** Size of the envelope and of the UDP and IP headers of a datagram. */
constexpr std::size_t HEADER_BYTES = 140;
/** Maximum number of sync datagrams of each kind, facts and members, that answer one pull. */
constexpr std::size_t MAX_SYNC_DATAGRAMS = 4;
/**
 * Values of gossip_message::probe in a pull.
 *
 * The receiver of a first pull may send a pull in return. A returned pull isn't answered by another pull, so that pulls don't go back and forth.
 */
constexpr std::uint64_t FIRST_PULL = 1;
constexpr std::uint64_t RETURNED_PULL = 2;
/** Interval at which expired facts are removed. */
constexpr duration EXPIRY_INTERVAL = std::chrono::milliseconds(200);
/** A newer configuration version that was already reported is reported again after this time, in case the first attempt to pull it failed. */
constexpr duration NEWER_CONFIG_REPORT_INTERVAL = std::chrono::milliseconds(500);

} // namespace

gossip_engine::gossip_engine(const gossip_settings &settings, member self, std::uint64_t seed)
    : m_settings(settings)
    , m_membership(settings.membership, std::move(self), seed)
    , m_sendBudgetBytes(settings.burstBytes)
{
}

std::vector<outgoing_gossip> gossip_engine::tick(time_point now)
{
    if (!m_started) {
        m_started = now;
        m_budgetRefilledAt = now;
    }
    refillBudget(now);
    datagrams out = m_membership.tick(now);
    if (now >= m_nextExpiry) {
        m_facts.tick(now);
        m_nextExpiry = now + EXPIRY_INTERVAL;
    }
    sendBroadcasts(now, out);
    piggybackAndCharge(now, out);
    return out;
}

void gossip_engine::sendBroadcasts(time_point now, datagrams &out)
{
    if (now < m_nextBroadcast || m_sendBudgetBytes <= 0 || !hasPendingBroadcasts()) {
        return;
    }
    m_nextBroadcast = now + m_settings.broadcastInterval;
    for (const node_id &id : m_membership.randomLive(m_settings.fanout)) {
        out.push_back({m_membership.others().find(id)->peerAddress, id, gossip_message()});
        m_configSendsLeft = std::max(0, m_configSendsLeft - 1);
    }
}

std::vector<outgoing_gossip> gossip_engine::receive(time_point now, const node_id &sender, const std::string &senderAddress, const gossip_message &message)
{
    if (sender == m_membership.self().id) {
        return {};
    }
    refillBudget(now);
    datagrams out = m_membership.receive(now, sender, senderAddress, message);
    // Facts received in a sync are broadcast as well, because the peer may be their only holder. A joining node pulls the whole table and doesn't broadcast
    // it.
    const bool rebroadcast = message.type != gossip_type::sync || !isJoining(now);
    for (const fact &item : message.facts) {
        if (m_facts.merge(now, item, rebroadcast)) {
            m_events.facts.push_back(item);
        }
    }
    noteConfigVersion(now, sender, senderAddress, message.configVersion);
    if (message.type == gossip_type::pull) {
        answerPull(now, sender, senderAddress, message, out);
    } else {
        compareDigests(now, sender, senderAddress, message, out);
    }
    piggybackAndCharge(now, out);
    return out;
}

void gossip_engine::noteConfigVersion(time_point now, const node_id &sender, const std::string &senderAddress, config_version version)
{
    m_membership.noteConfigVersion(sender, version);
    if (version <= m_membership.self().configVersion || (version <= m_highestReportedConfig && now < m_lastNewerConfigReport + NEWER_CONFIG_REPORT_INTERVAL)) {
        return;
    }
    m_highestReportedConfig = std::max(m_highestReportedConfig, version);
    m_lastNewerConfigReport = now;
    m_events.newerConfigPeers.push_back({sender, senderAddress, version});
}

void gossip_engine::compareDigests(time_point now, const node_id &sender, const std::string &senderAddress, const gossip_message &message, datagrams &out)
{
    const bool membersDiffer = m_memberMismatch.differs(now, message.memberDigest, m_settings.maxPullDelay);
    const bool factsDiffer = m_factMismatch.differs(now, message.factDigest, m_settings.maxPullDelay);
    const bool joinPull = isJoining(now) && membersDiffer;
    const bool due = joinPull || (membersDiffer && m_memberMismatch.due(now, m_settings.pullDelay, m_settings.maxPullDelay))
        || (factsDiffer && m_factMismatch.due(now, m_settings.factPullDelay, m_settings.maxPullDelay));
    if (due && now >= m_lastPull + (joinPull ? m_settings.joinPullInterval : m_settings.pullInterval)) {
        pull(now, sender, senderAddress, message, FIRST_PULL, out);
    }
}

void gossip_engine::pull(
    time_point now, const node_id &sender, const std::string &senderAddress, const gossip_message &message, std::uint64_t pullRound, datagrams &out)
{
    m_lastPull = now;
    m_memberMismatch.restart(now);
    m_factMismatch.restart(now);
    gossip_message request;
    request.type = gossip_type::pull;
    request.probe = pullRound;
    if (message.memberDigest != m_membership.digest().total()) {
        request.memberBuckets = m_membership.digest().buckets();
    }
    if (message.factDigest != m_facts.digest().total()) {
        request.factBuckets = m_facts.digest().buckets();
    }
    out.push_back({senderAddress, sender, std::move(request)});
}

void gossip_engine::answerPull(time_point now, const node_id &sender, const std::string &senderAddress, const gossip_message &message, datagrams &out)
{
    if (m_sendBudgetBytes <= 0) {
        return;
    }
    const std::size_t budget = m_settings.payloadBytes - encodedSizeBound(gossip_message());
    const std::size_t firstBucket = m_membership.randomBucket();
    datagrams answers;
    if (!message.factBuckets.empty()) {
        for (auto &group : m_facts.differing(now, message.factBuckets, budget, MAX_SYNC_DATAGRAMS, firstBucket)) {
            answers.push_back({senderAddress, sender, gossip_message()});
            answers.back().message.facts = std::move(group);
        }
    }
    if (!message.memberBuckets.empty()) {
        for (auto &group : m_membership.differing(message.memberBuckets, budget, MAX_SYNC_DATAGRAMS, firstBucket)) {
            answers.push_back({senderAddress, sender, gossip_message()});
            answers.back().message.updates = std::move(group);
        }
    }
    for (outgoing_gossip &answer : answers) {
        answer.message.type = gossip_type::sync;
        out.push_back(std::move(answer));
    }
    // This node may be the one with missing entries, for example when the peer is the only holder of a fact, so it pulls in return.
    if (message.probe == FIRST_PULL && now >= m_lastPull + m_settings.pullInterval) {
        pull(now, sender, senderAddress, message, RETURNED_PULL, out);
    }
}

void gossip_engine::piggybackAndCharge(time_point now, datagrams &out)
{
    const std::uint64_t memberDigest = m_membership.digest().total();
    const std::uint64_t factDigest = m_facts.digest().total();
    m_memberMismatch.recordOwnDigest(now, memberDigest);
    m_factMismatch.recordOwnDigest(now, factDigest);
    for (outgoing_gossip &datagram : out) {
        gossip_message &message = datagram.message;
        message.configVersion = m_membership.self().configVersion;
        message.memberDigest = memberDigest;
        message.factDigest = factDigest;
        const std::size_t used = encodedSizeBound(message);
        std::size_t left = m_settings.payloadBytes > used ? m_settings.payloadBytes - used : 0;
        // Receivers treat the claims in a sync as possibly outdated, so updates aren't piggybacked on one. Facts are added first; while member updates are
        // pending, every second datagram reserves half of its free bytes for them.
        if (message.type != gossip_type::sync) {
            m_reservesForMembers = !m_reservesForMembers;
            const bool shared = m_reservesForMembers && m_membership.hasPendingBroadcasts();
            left -= m_facts.collect(now, shared ? left / 2 : left, m_membership.sendLimit(), message.facts);
            m_membership.appendPendingUpdates(message, left);
        }
        m_sendBudgetBytes -= static_cast<double>(encodedSizeBound(message) + HEADER_BYTES);
    }
}

void gossip_engine::refillBudget(time_point now)
{
    if (!m_started) {
        return;
    }
    const double seconds = std::chrono::duration<double>(now - m_budgetRefilledAt).count();
    m_sendBudgetBytes = std::min(m_settings.burstBytes, m_sendBudgetBytes + seconds * m_settings.bytesPerSecond);
    m_budgetRefilledAt = now;
}

std::vector<outgoing_gossip> gossip_engine::leave(time_point now)
{
    datagrams out = m_membership.leave(now);
    piggybackAndCharge(now, out);
    return out;
}

outcome<fact> gossip_engine::publish(time_point now, fact item)
{
    item.origin = m_membership.self().id;
    item.originIncarnation = m_membership.self().started;
    outcome<fact> published = m_facts.publish(now, std::move(item));
    m_factMismatch.recordOwnDigest(now, m_facts.digest().total());
    return published;
}

std::vector<outgoing_gossip> gossip_engine::flushBroadcasts(time_point now)
{
    refillBudget(now);
    datagrams out;
    sendBroadcasts(now, out);
    piggybackAndCharge(now, out);
    return out;
}

void gossip_engine::setConfigVersion(config_version version)
{
    if (version <= m_membership.self().configVersion) {
        return;
    }
    m_membership.setConfigVersion(version);
    m_configSendsLeft = m_membership.sendLimit();
}

gossip_events gossip_engine::takeEvents()
{
    m_events.members = m_membership.takeEvents();
    m_events.failedProbes = m_membership.takeFailedProbes();
    return std::exchange(m_events, {});
}

} // namespace snipefall
