#include "gossip_network.h"

#include <algorithm>

namespace snipefall {

namespace {

constexpr duration STEP = std::chrono::milliseconds(50);
constexpr std::uint64_t MAX_DELAY_US = 5000;

} // namespace

gossip_network::gossip_network(std::size_t size, std::uint64_t seed)
    : m_nodes(size)
    , m_random(seed)
{
    for (std::size_t i = 0; i < size; ++i) {
        start(i);
    }
}

void gossip_network::start(std::size_t index)
{
    member self;
    self.id = idOf(index);
    self.peerAddress = addressOf(index);
    self.callerAddress = addressOf(index + size());
    self.domain = failure_domain_id("fd-" + std::to_string(index % 4));
    self.started = incarnation(static_cast<std::uint64_t>(m_now.time_since_epoch().count() / 1000));
    m_nodes[index].engine = std::make_unique<gossip_engine>(gossip_settings(), self, m_random());
    m_nodes[index].engine->nodes().setSeeds({addressOf(0), addressOf(size() / 2)});
    m_nodes[index].paused = false;
}

void gossip_network::leave(std::size_t index)
{
    send(index, engine(index).leave(m_now));
    stop(index);
}

void gossip_network::resume(std::size_t index)
{
    m_nodes[index].paused = false;
    for (const auto &[from, datagram] : std::exchange(m_nodes[index].inbox, {})) {
        deliver(from, index, datagram);
    }
}

void gossip_network::run(duration time)
{
    runUntil(time, [] { return false; });
}

std::optional<duration> gossip_network::runUntil(duration limit, const std::function<bool()> &condition)
{
    const time_point begin = m_now;
    while (!condition()) {
        if (m_now - begin >= limit) {
            return std::nullopt;
        }
        m_now += STEP;
        while (!m_inFlight.empty() && m_inFlight.begin()->first <= m_now) {
            const auto [from, to, datagram] = m_inFlight.begin()->second;
            m_inFlight.erase(m_inFlight.begin());
            deliver(from, to, datagram);
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (runs(i)) {
                if (m_outsideAnswers && m_nodes[i].side <= m_lastAnsweredSide) {
                    engine(i).nodes().noteOutsideAnswer(m_now);
                }
                send(i, engine(i).tick(m_now));
                collectEvents(i);
            }
        }
    }
    return m_now - begin;
}

void gossip_network::send(std::size_t from, const std::vector<outgoing_gossip> &datagrams)
{
    for (const outgoing_gossip &datagram : datagrams) {
        const std::size_t size = encodedSizeBound(datagram.message);
        m_bytes += size;
        m_largest = std::max(m_largest, size);
        const std::size_t to = std::stoul(datagram.address.substr(datagram.address.rfind(':') + 1)) - 10000;
        if (to >= m_nodes.size() || m_nodes[from].side != m_nodes[to].side || static_cast<double>(m_random() % 10000) < m_loss * 10000) {
            continue;
        }
        m_inFlight.emplace(m_now + duration(m_random() % MAX_DELAY_US), std::make_tuple(from, to, datagram));
    }
}

void gossip_network::deliver(std::size_t from, std::size_t to, const outgoing_gossip &datagram)
{
    simulated_node &target = m_nodes[to];
    if (target.paused) {
        target.inbox.emplace_back(from, datagram);
        return;
    }
    if (!target.engine || (!datagram.recipient.empty() && datagram.recipient != idOf(to))) {
        return;
    }
    send(to, target.engine->receive(m_now, idOf(from), addressOf(from), datagram.message));
    collectEvents(to);
}

void gossip_network::collectEvents(std::size_t index)
{
    const gossip_events events = engine(index).takeEvents();
    m_events.insert(m_events.end(), events.members.begin(), events.members.end());
    for (const newer_config_peer &peer : events.newerConfigPeers) {
        if (m_newerConfigHandler) {
            m_newerConfigHandler(engine(index), peer);
        }
    }
}

std::size_t gossip_network::running() const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        count += runs(i) ? 1 : 0;
    }
    return count;
}

bool gossip_network::converged() const
{
    const std::size_t expected = running();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (!runs(i)) {
            continue;
        }
        const auto &live = m_nodes[i].engine->nodes().others().live();
        const bool onlyRunning = std::all_of(live.begin(), live.end(), [&](const node_id &id) { return runs(std::stoul(id.str().substr(5))); });
        if (live.size() + 1 != expected || !onlyRunning) {
            return false;
        }
    }
    return true;
}

std::size_t gossip_network::holders(const std::string &key) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        count += runs(i) && m_nodes[i].engine->facts().find(m_now, key) ? 1 : 0;
    }
    return count;
}

std::size_t gossip_network::events(member_event_kind kind) const
{
    return static_cast<std::size_t>(std::count_if(m_events.begin(), m_events.end(), [&](const member_event &event) { return event.kind == kind; }));
}

} // namespace snipefall
