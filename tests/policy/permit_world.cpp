#include "tests/policy/permit_world.h"

#include "policy/placement.h"

namespace snipefall {

using std::chrono::milliseconds;
using std::chrono::seconds;

permit_world::permit_world(const permit_world_options &options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
    for (int i = 0; i < options.nodes; ++i) {
        addNode(i % options.domains);
    }
}

void permit_world::addNode(int domain)
{
    auto node = std::make_unique<sim_node>();
    node->member.id = node_id("node-" + std::to_string(m_nodes.size()));
    node->member.domain = failure_domain_id(std::to_string(domain));
    node->rate = 0.99 + static_cast<double>(m_random() % 2001) / 100000.0;
    node->offset = seconds(m_random() % 100000);
    m_nodes.push_back(std::move(node));
    start(*m_nodes.back());
}

void permit_world::start(sim_node &node)
{
    ++node.life;
    node.member.started = incarnation(static_cast<std::uint64_t>(m_now.count() / 1000 + 1));
    node.holder.emplace(node.member.id, node.member.started);
    node.inUse = {};
    node.heard.clear();
    after(between(1, 100), [this, &node, life = node.life] {
        if (life == node.life) {
            tick(node);
        }
    });
}

void permit_world::stop(sim_node &node, duration time)
{
    ++node.life;
    node.holder.reset();
    node.deadUntil = m_now + time;
    after(time, [this, &node, life = node.life] {
        if (life == node.life && !node.gone) {
            start(node);
        }
    });
}

void permit_world::tick(sim_node &node)
{
    if (m_now >= node.pausedUntil) {
        for (const auto &other : m_nodes) {
            if (reachable(node, *other) && m_now >= other->pausedUntil && !node.heard.contains(node_id("suspect " + other->member.id.str()))) {
                node.heard[other->member.id] = m_now;
            }
        }
        node.inUse = node.holder->usable(localTime(node));
        for (const auto &action : node.holder->tick(localTime(node), surroundingsOf(node))) {
            perform(node, action);
        }
    }
    after(milliseconds(100), [this, &node, life = node.life] {
        if (life == node.life) {
            tick(node);
        }
    });
}

permit_surroundings permit_world::surroundingsOf(const sim_node &node) const
{
    auto view = std::make_shared<cluster_view>();
    std::vector<placement_member> members;
    for (const auto &other : m_nodes) {
        const auto heard = node.heard.find(other->member.id);
        if (other.get() == &node || (heard != node.heard.end() && m_now - heard->second < seconds(2))) {
            view->live.emplace(other->member.id, other->member.started);
            members.push_back(other->member);
        }
        if (other->gone && m_now - other->deadUntil > seconds(3)) {
            view->gone.insert(other->member.id);
        }
    }
    return {view, placeService(service_id("counter-desk-1"), members, MAX_HOLDERS), m_options.limit, node.inUse};
}

void permit_world::perform(sim_node &node, const permit_action &action)
{
    if (const auto *ask = std::get_if<ask_promise>(&action)) {
        sendPromise(node, *ask);
    } else {
        callPlatform(node, action);
    }
}

void permit_world::callPlatform(sim_node &node, const permit_action &action)
{
    if (m_platformDown || node.cutOff) {
        deliver(node, between(1, 20), [action](permit_holder &holder, time_point now) {
            if (const auto *read = std::get_if<read_permits>(&action)) {
                holder.readAnswered(read->operation, now, failure{error_code::unavailable, "down"});
            } else {
                holder.writeAnswered(std::get<write_permits>(action).operation, now, failure{error_code::unavailable, "down"});
            }
        });
        return;
    }
    after(networkDelay(), [this, &node, action] {
        if (!m_platformDown) {
            answerFromPlatform(node, action);
        }
    });
}

void permit_world::answerFromPlatform(sim_node &node, const permit_action &action)
{
    const bool lost = node.cutOff || (m_losesAnswers && chance(50));
    if (const auto *read = std::get_if<read_permits>(&action)) {
        versioned_permits current{object_version(m_platformVersion), {}};
        if (m_platformVersion > 0) {
            current.record = permit_record::fromJson(m_platformValue).value();
        }
        if (!lost) {
            deliver(node, networkDelay(), [operation = read->operation, current](permit_holder &holder, time_point now) {
                holder.readAnswered(operation, now, current);
            });
        }
        return;
    }
    const auto &write = std::get<write_permits>(action);
    outcome<object_version> answer = failure{error_code::conflict, "another version"};
    if (write.permits.version.value() == m_platformVersion) {
        m_platformValue = write.permits.record.toJson();
        answer = object_version(++m_platformVersion);
    }
    if (lost && chance(50)) {
        return;
    }
    if (lost) {
        answer = failure{error_code::unknown_result, "answer lost"};
    }
    deliver(
        node, networkDelay(), [operation = write.operation, answer](permit_holder &holder, time_point now) { holder.writeAnswered(operation, now, answer); });
}

void permit_world::sendPromise(sim_node &node, const ask_promise &ask)
{
    for (const auto &other : m_nodes) {
        if (other->member.id != ask.taker || !reachable(node, *other) || (m_losesMessages && chance(50))) {
            continue;
        }
        deliver(*other, messageDelay(), [this, &node, &taker = *other, ask](permit_holder &holder, time_point now) {
            const auto answer = holder.answerPromise(ask.request, now);
            if (!reachable(node, taker) || (m_losesMessages && chance(50))) {
                return;
            }
            deliver(node, messageDelay(), [operation = ask.operation, answer](permit_holder &asker, time_point then) {
                asker.promiseAnswered(operation, then, answer);
            });
        });
    }
}

void permit_world::deliver(sim_node &node, duration delay, std::function<void(permit_holder &, time_point)> event)
{
    after(delay, [this, &node, life = node.life, event = std::move(event)] {
        if (life != node.life || !node.holder) {
            return;
        }
        if (m_now < node.pausedUntil) {
            deliver(node, node.pausedUntil - m_now, event);
            return;
        }
        event(*node.holder, localTime(node));
    });
}

void permit_world::whileLasting(duration time, bool &flag)
{
    flag = true;
    after(time, [&flag] { flag = false; });
}

void permit_world::injectFault()
{
    auto &node = *m_nodes[m_random() % m_nodes.size()];
    const auto time = between(500, 20000);
    switch (m_random() % 10) {
    case 0:
        return whileLasting(time, m_platformDown);
    case 1:
        return whileLasting(time, m_platformSlow);
    case 2:
        return whileLasting(time, m_losesAnswers);
    case 3:
        return whileLasting(time, m_losesMessages);
    case 4:
        // A region split: the nodes of the cut-off side reach each other but not the platform.
        for (const auto &other : m_nodes) {
            if (chance(50)) {
                whileLasting(time, other->cutOff);
            }
        }
        return;
    case 5:
        node.pausedUntil = m_now + time;
        return;
    case 6:
        return stop(node, node.gone ? duration{} : between(0, 300)); // A restart without any state.
    case 7:
        return stop(node, time);
    case 8:
        if (!node.gone) {
            stop(node, duration{});
            node.gone = true;
            addNode(static_cast<int>(m_random() % m_options.domains));
        }
        return;
    default: {
        const node_id mark("suspect " + m_nodes[m_random() % m_nodes.size()]->member.id.str()); // A false suspicion.
        node.heard[mark] = m_now;
        after(time, [&node, mark] { node.heard.erase(mark); });
    }
    }
}

void permit_world::endFaults()
{
    m_platformDown = m_platformSlow = m_losesAnswers = m_losesMessages = false;
    for (const auto &node : m_nodes) {
        node->cutOff = false;
        node->pausedUntil = m_now;
        std::erase_if(node->heard, [](const auto &item) { return item.first.str().starts_with("suspect"); });
        if (!node->gone && !node->holder) {
            stop(*node, duration{});
        }
    }
}

void permit_world::run(duration time)
{
    const auto end = m_now + time;
    while (!m_events.empty() && m_events.top().time <= end) {
        const auto next = m_events.top();
        m_events.pop();
        m_now = next.time;
        next.action();
        check();
    }
    m_now = end;
}

void permit_world::check()
{
    const auto sum = usableNow();
    m_highest = {std::max(m_highest.slots, sum.slots), std::max(m_highest.connections, sum.connections)};
}

permit_share permit_world::usableNow() const
{
    permit_share sum;
    for (const auto &node : m_nodes) {
        if (alive(*node)) {
            sum = sum + node->holder->usable(localTime(*node)); // A paused node counts: it may wake at any time.
        }
    }
    return sum;
}

time_point permit_world::localTime(const sim_node &node) const
{
    return time_point(node.offset + duration(static_cast<duration::rep>(static_cast<double>(m_now.count()) * node.rate)));
}

} // namespace snipefall
