#include "policy/gossip_engine.h"

#include <algorithm>

namespace snipefall {

namespace {

/** Envelope, UDP and IP headers of a datagram. */
constexpr std::size_t HEADER_BYTES = 140;
/** Datagrams that answer one pull. */
constexpr std::size_t SYNC_DATAGRAMS = 4;
/** Value of the probe number in a pull: a first pull is answered by a pull of the other side, which isn't answered by another one. */
constexpr std::uint64_t FIRST_PULL = 1;
constexpr std::uint64_t PULL_BACK = 2;
/** Facts expire with this resolution. */
constexpr duration EXPIRY_INTERVAL = std::chrono::milliseconds(200);
/** The same newer version is reported again after this time, in case the first pull failed. */
constexpr duration AHEAD_INTERVAL = std::chrono::milliseconds(500);

} // namespace

gossip_engine::gossip_engine(const gossip_settings &settings, member self, std::uint64_t seed)
    : m_settings(settings)
    , m_membership(settings.membership, std::move(self), seed)
    , m_budget(settings.burstBytes)
{
}

std::vector<outgoing_gossip> gossip_engine::tick(time_point now)
{
    if (!m_started) {
        m_started = now;
        m_budgetAt = now;
    }
    refillBudget(now);
    datagrams out = m_membership.tick(now);
    if (now >= m_nextExpiry) {
        m_facts.tick(now);
        m_nextExpiry = now + EXPIRY_INTERVAL;
    }
    spreadNews(now, out);
    finish(now, out);
    return out;
}

void gossip_engine::spreadNews(time_point now, datagrams &out)
{
    if (now < m_nextNews || m_budget <= 0 || !hasNews()) {
        return;
    }
    m_nextNews = now + m_settings.newsInterval;
    for (const node_id &id : m_membership.randomLive(m_settings.fanout)) {
        out.push_back({m_membership.others().find(id)->peerAddress, id, gossip_message()});
        m_announcements = std::max(0, m_announcements - 1);
    }
}

std::vector<outgoing_gossip> gossip_engine::receive(time_point now, const node_id &sender, const std::string &from, const gossip_message &message)
{
    if (sender == m_membership.self().id) {
        return {};
    }
    refillBudget(now);
    datagrams out = m_membership.receive(now, sender, from, message);
    // Pulled facts are passed on, because the peer may be the only holder, but not by a new node that pulls the whole table.
    const bool passOn = message.type != gossip_type::sync || !joining(now);
    for (const fact &item : message.facts) {
        if (m_facts.merge(now, item, passOn)) {
            m_events.facts.push_back(item);
        }
    }
    noteConfigVersion(now, sender, from, message.configVersion);
    if (message.type == gossip_type::pull) {
        answerPull(now, sender, from, message, out);
    } else {
        compareDigests(now, sender, from, message, out);
    }
    finish(now, out);
    return out;
}

void gossip_engine::noteConfigVersion(time_point now, const node_id &sender, const std::string &from, config_version version)
{
    m_membership.noteConfigVersion(sender, version);
    if (version <= m_membership.self().configVersion || (version <= m_highestAhead && now < m_lastAhead + AHEAD_INTERVAL)) {
        return;
    }
    m_highestAhead = std::max(m_highestAhead, version);
    m_lastAhead = now;
    m_events.ahead.push_back({sender, from, version});
}

void gossip_engine::compareDigests(time_point now, const node_id &sender, const std::string &from, const gossip_message &message, datagrams &out)
{
    const bool membersDiffer = m_memberWatch.differs(now, message.memberDigest, m_settings.pullLatest);
    const bool factsDiffer = m_factWatch.differs(now, message.factDigest, m_settings.pullLatest);
    const bool joins = joining(now) && membersDiffer;
    const bool due = joins || (membersDiffer && m_memberWatch.due(now, m_settings.pullDelay, m_settings.pullLatest))
        || (factsDiffer && m_factWatch.due(now, m_settings.factPullDelay, m_settings.pullLatest));
    if (due && now >= m_lastPull + (joins ? m_settings.joinPullInterval : m_settings.pullInterval)) {
        pull(now, sender, from, message, FIRST_PULL, out);
    }
}

void gossip_engine::pull(time_point now, const node_id &sender, const std::string &from, const gossip_message &message, std::uint64_t turn, datagrams &out)
{
    m_lastPull = now;
    m_memberWatch.restart(now);
    m_factWatch.restart(now);
    gossip_message request;
    request.type = gossip_type::pull;
    request.probe = turn;
    if (message.memberDigest != m_membership.digest().total()) {
        request.memberBuckets = m_membership.digest().buckets();
    }
    if (message.factDigest != m_facts.digest().total()) {
        request.factBuckets = m_facts.digest().buckets();
    }
    out.push_back({from, sender, std::move(request)});
}

void gossip_engine::answerPull(time_point now, const node_id &sender, const std::string &from, const gossip_message &message, datagrams &out)
{
    if (m_budget <= 0) {
        return;
    }
    const std::size_t budget = m_settings.payloadBytes - encodedSizeBound(gossip_message());
    const std::size_t firstBucket = m_membership.randomBucket();
    datagrams answers;
    if (!message.factBuckets.empty()) {
        for (auto &group : m_facts.differing(now, message.factBuckets, budget, SYNC_DATAGRAMS, firstBucket)) {
            answers.push_back({from, sender, gossip_message()});
            answers.back().message.facts = std::move(group);
        }
    }
    if (!message.memberBuckets.empty()) {
        for (auto &group : m_membership.differing(message.memberBuckets, budget, SYNC_DATAGRAMS, firstBucket)) {
            answers.push_back({from, sender, gossip_message()});
            answers.back().message.updates = std::move(group);
        }
    }
    for (outgoing_gossip &answer : answers) {
        answer.message.type = gossip_type::sync;
        out.push_back(std::move(answer));
    }
    // The difference may be on this side, for example when the other node is the only one that holds a fact.
    if (message.probe == FIRST_PULL && now >= m_lastPull + m_settings.pullInterval) {
        pull(now, sender, from, message, PULL_BACK, out);
    }
}

void gossip_engine::finish(time_point now, datagrams &out)
{
    const std::uint64_t memberDigest = m_membership.digest().total();
    const std::uint64_t factDigest = m_facts.digest().total();
    m_memberWatch.noteOwn(now, memberDigest);
    m_factWatch.noteOwn(now, factDigest);
    for (outgoing_gossip &datagram : out) {
        gossip_message &message = datagram.message;
        message.configVersion = m_membership.self().configVersion;
        message.memberDigest = memberDigest;
        message.factDigest = factDigest;
        const std::size_t used = encodedSizeBound(message);
        std::size_t left = m_settings.payloadBytes > used ? m_settings.payloadBytes - used : 0;
        // A sync's claims are treated as old ones, so news doesn't travel in it. Facts go first, but leave half of every second datagram to members.
        if (message.type != gossip_type::sync) {
            m_sharesEvenly = !m_sharesEvenly;
            const bool shared = m_sharesEvenly && m_membership.hasNews();
            left -= m_facts.collect(now, shared ? left / 2 : left, m_membership.sendLimit(), message.facts);
            m_membership.appendNews(message, left);
        }
        m_budget -= static_cast<double>(encodedSizeBound(message) + HEADER_BYTES);
    }
}

void gossip_engine::refillBudget(time_point now)
{
    if (!m_started) {
        return;
    }
    const double seconds = std::chrono::duration<double>(now - m_budgetAt).count();
    m_budget = std::min(m_settings.burstBytes, m_budget + seconds * m_settings.bytesPerSecond);
    m_budgetAt = now;
}

std::vector<outgoing_gossip> gossip_engine::leave(time_point now)
{
    datagrams out = m_membership.leave(now);
    finish(now, out);
    return out;
}

outcome<fact> gossip_engine::publish(time_point now, fact item)
{
    item.origin = m_membership.self().id;
    item.originIncarnation = m_membership.self().started;
    outcome<fact> published = m_facts.publish(now, std::move(item));
    m_factWatch.noteOwn(now, m_facts.digest().total());
    return published;
}

std::vector<outgoing_gossip> gossip_engine::pushNews(time_point now)
{
    refillBudget(now);
    datagrams out;
    spreadNews(now, out);
    finish(now, out);
    return out;
}

void gossip_engine::setConfigVersion(config_version version)
{
    if (version <= m_membership.self().configVersion) {
        return;
    }
    m_membership.setConfigVersion(version);
    m_announcements = m_membership.sendLimit();
}

gossip_events gossip_engine::takeEvents()
{
    m_events.members = m_membership.takeEvents();
    return std::exchange(m_events, {});
}

} // namespace snipefall
