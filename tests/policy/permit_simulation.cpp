#include "tests/policy/permit_simulation.h"

#include "policy/placement.h"

namespace snipefall {

using std::chrono::milliseconds;
using std::chrono::seconds;

permit_simulation::permit_simulation(const permit_simulation_options &options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
    for (int i = 0; i < options.nodes; ++i) {
        addNode(i % options.domains);
    }
}

void permit_simulation::addNode(int domain)
{
    auto node = std::make_unique<simulated_node>();
    node->member.id = node_id("node-" + std::to_string(m_nodes.size()));
    node->member.domain = failure_domain_id(std::to_string(domain));
    node->clockRate = 0.99 + static_cast<double>(m_random() % 2001) / 100000.0;
    node->clockOffset = seconds(m_random() % 100000);
    m_nodes.push_back(std::move(node));
    start(*m_nodes.back());
}

void permit_simulation::start(simulated_node &node)
{
    ++node.generation;
    node.member.started = incarnation(static_cast<std::uint64_t>(m_now.count() / 1000 + 1));
    node.holder.emplace(node.member.id, node.member.started);
    node.inUse = {};
    node.lastHeard.clear();
    schedule(randomDuration(1, 100), [this, &node, generation = node.generation] {
        if (generation == node.generation) {
            tick(node);
        }
    });
}

void permit_simulation::stop(simulated_node &node, duration time)
{
    ++node.generation;
    node.holder.reset();
    node.stoppedUntil = m_now + time;
    schedule(time, [this, &node, generation = node.generation] {
        if (generation == node.generation && !node.replaced) {
            start(node);
        }
    });
}

void permit_simulation::tick(simulated_node &node)
{
    if (m_now >= node.pausedUntil) {
        for (const auto &other : m_nodes) {
            if (reachable(node, *other) && m_now >= other->pausedUntil && !node.lastHeard.contains(node_id("suspect " + other->member.id.str()))) {
                node.lastHeard[other->member.id] = m_now;
            }
        }
        node.inUse = node.holder->usable(localTime(node));
        for (const auto &action : node.holder->tick(localTime(node), inputsOf(node))) {
            execute(node, action);
        }
    }
    schedule(milliseconds(100), [this, &node, generation = node.generation] {
        if (generation == node.generation) {
            tick(node);
        }
    });
}

permit_inputs permit_simulation::inputsOf(const simulated_node &node) const
{
    auto view = std::make_shared<cluster_view>();
    std::vector<placement_member> members;
    for (const auto &other : m_nodes) {
        const auto lastHeard = node.lastHeard.find(other->member.id);
        if (other.get() == &node || (lastHeard != node.lastHeard.end() && m_now - lastHeard->second < seconds(2))) {
            view->live.emplace(other->member.id, other->member.started);
            members.push_back(other->member);
        }
        if (other->replaced && m_now - other->stoppedUntil > seconds(3)) {
            view->deprovisioned.insert(other->member.id);
        }
    }
    return {view, placeService(service_id("counter-desk-1"), members, MAX_PERMIT_HOLDERS), m_options.limit, node.inUse};
}

void permit_simulation::execute(simulated_node &node, const permit_action &action)
{
    if (const auto *ask = std::get_if<ask_promise>(&action)) {
        sendPromise(node, *ask);
    } else {
        callPlatform(node, action);
    }
}

void permit_simulation::callPlatform(simulated_node &node, const permit_action &action)
{
    if (m_platformDown || node.partitioned) {
        deliver(node, randomDuration(1, 20), [action](permit_holder &holder, time_point now) {
            if (const auto *read = std::get_if<read_permits>(&action)) {
                holder.handleReadAnswer(read->operation, now, failure{error_code::unavailable, "down"});
            } else {
                holder.handleWriteAnswer(std::get<write_permits>(action).operation, now, failure{error_code::unavailable, "down"});
            }
        });
        return;
    }
    schedule(platformDelay(), [this, &node, action] {
        if (!m_platformDown) {
            answerFromPlatform(node, action);
        }
    });
}

void permit_simulation::answerFromPlatform(simulated_node &node, const permit_action &action)
{
    const bool lost = node.partitioned || (m_losesPlatformAnswers && randomChance(50));
    if (const auto *read = std::get_if<read_permits>(&action)) {
        versioned_permits current{object_version(m_platformVersion), {}};
        if (m_platformVersion > 0) {
            current.record = permit_record::fromJson(m_platformValue).value();
        }
        if (!lost) {
            deliver(node, platformDelay(), [operation = read->operation, current](permit_holder &holder, time_point now) {
                holder.handleReadAnswer(operation, now, current);
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
    if (lost && randomChance(50)) {
        return;
    }
    if (lost) {
        answer = failure{error_code::unknown_result, "answer lost"};
    }
    deliver(node, platformDelay(), [operation = write.operation, answer](permit_holder &holder, time_point now) {
        holder.handleWriteAnswer(operation, now, answer);
    });
}

void permit_simulation::sendPromise(simulated_node &node, const ask_promise &ask)
{
    for (const auto &other : m_nodes) {
        if (other->member.id != ask.successor || !reachable(node, *other) || (m_losesMessages && randomChance(50))) {
            continue;
        }
        deliver(*other, messageDelay(), [this, &node, &successor = *other, ask](permit_holder &holder, time_point now) {
            const auto answer = holder.answerPromise(ask.request, now);
            if (!reachable(node, successor) || (m_losesMessages && randomChance(50))) {
                return;
            }
            deliver(node, messageDelay(), [operation = ask.operation, answer](permit_holder &asker, time_point then) {
                asker.handlePromiseAnswer(operation, then, answer);
            });
        });
    }
}

void permit_simulation::deliver(simulated_node &node, duration delay, std::function<void(permit_holder &, time_point)> event)
{
    schedule(delay, [this, &node, generation = node.generation, event = std::move(event)] {
        if (generation != node.generation || !node.holder) {
            return;
        }
        if (m_now < node.pausedUntil) {
            deliver(node, node.pausedUntil - m_now, event);
            return;
        }
        event(*node.holder, localTime(node));
    });
}

void permit_simulation::setTemporarily(duration time, bool &flag)
{
    flag = true;
    schedule(time, [&flag] { flag = false; });
}

void permit_simulation::injectFault()
{
    auto &node = *m_nodes[m_random() % m_nodes.size()];
    const auto time = randomDuration(500, 20000);
    switch (m_random() % 10) {
    case 0:
        return setTemporarily(time, m_platformDown);
    case 1:
        return setTemporarily(time, m_platformSlow);
    case 2:
        return setTemporarily(time, m_losesPlatformAnswers);
    case 3:
        return setTemporarily(time, m_losesMessages);
    case 4:
        // A network partition: the nodes on the partitioned side reach each other but not the platform.
        for (const auto &other : m_nodes) {
            if (randomChance(50)) {
                setTemporarily(time, other->partitioned);
            }
        }
        return;
    case 5:
        node.pausedUntil = m_now + time;
        return;
    case 6:
        return stop(node, node.replaced ? duration{} : randomDuration(0, 300)); // Restarts without any state.
    case 7:
        return stop(node, time);
    case 8:
        if (!node.replaced) {
            stop(node, duration{});
            node.replaced = true;
            addNode(static_cast<int>(m_random() % m_options.domains));
        }
        return;
    default: {
        const node_id mark("suspect " + m_nodes[m_random() % m_nodes.size()]->member.id.str()); // Simulates a false suspicion.
        node.lastHeard[mark] = m_now;
        schedule(time, [&node, mark] { node.lastHeard.erase(mark); });
    }
    }
}

void permit_simulation::endFaults()
{
    m_platformDown = m_platformSlow = m_losesPlatformAnswers = m_losesMessages = false;
    for (const auto &node : m_nodes) {
        node->partitioned = false;
        node->pausedUntil = m_now;
        std::erase_if(node->lastHeard, [](const auto &item) { return item.first.str().starts_with("suspect"); });
        if (!node->replaced && !node->holder) {
            stop(*node, duration{});
        }
    }
}

void permit_simulation::run(duration time)
{
    const auto end = m_now + time;
    while (!m_events.empty() && m_events.top().time <= end) {
        const auto next = m_events.top();
        m_events.pop();
        m_now = next.time;
        next.action();
        updateHighest();
    }
    m_now = end;
}

void permit_simulation::updateHighest()
{
    const auto sum = usableNow();
    m_highest = {std::max(m_highest.slots, sum.slots), std::max(m_highest.connections, sum.connections)};
}

permit_share permit_simulation::usableNow() const
{
    permit_share sum;
    for (const auto &node : m_nodes) {
        if (alive(*node)) {
            sum = sum + node->holder->usable(localTime(*node)); // Paused nodes are included, because they may resume at any time.
        }
    }
    return sum;
}

time_point permit_simulation::localTime(const simulated_node &node) const
{
    return time_point(node.clockOffset + duration(static_cast<duration::rep>(static_cast<double>(m_now.count()) * node.clockRate)));
}

} // namespace snipefall
