#include "tests/soak/soak_run.h"

#include <csignal>

#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace snipefall {

using std::chrono::milliseconds;

namespace {

/** An answer later than this after a route's time limit breaks the promise of the limit; the machine of a test may be busy. */
constexpr milliseconds LATE(700);
/** A request that a node has not read may end with its connection; one that is older was read. */
constexpr milliseconds READ_TIME(300);
/** After the last fault the site has to be sound again; the platform allows twelve seconds. */
constexpr std::chrono::seconds RECOVERY(12);
/** Share of requests in the calm at the end that has to be served. */
constexpr double SERVED_IN_CALM = 0.95;

site_emulator::options siteOptions(const soak_run::options &settings)
{
    site_emulator::options options;
    options.shards = settings.shards;
    options.proxies = true;
    options.queryTimeout = milliseconds(900);
    options.queryTarget = milliseconds(200);
    return options;
}

} // namespace

soak_run::soak_run(const options &settings)
    : m_options(settings)
    , m_random(settings.seed)
    , m_site(siteOptions(settings))
    , m_started(steady::now())
{
    m_shardSets.push_back(m_site.shards());
    m_shardSets.emplace_back();
    for (std::size_t i = 0; i + 1 < settings.shards; ++i) {
        m_shardSets.back().push_back("other-" + std::to_string(i));
        m_site.addServer(m_shardSets.back().back(), "zone-0");
        m_site.addServer(m_shardSets.back().back(), "zone-1");
    }
    for (std::size_t i = 0; i < settings.nodes; ++i) {
        m_names.push_back("node-" + std::to_string(i));
        m_site.startNode(m_names.back(), "zone-" + std::to_string(i % 2));
    }
}

std::vector<std::string> soak_run::run()
{
    for (const std::string &name : m_names) {
        if (!m_site.waitReady(name)) {
            broken(name + " did not get ready");
            return m_broken;
        }
    }
    m_started = steady::now();
    if (m_options.move) {
        orderMove();
    }
    const auto troubleEnd = m_started + m_options.trouble;
    auto nextFault = m_started + milliseconds(300);
    while (steady::now() < troubleEnd) {
        const auto now = steady::now();
        sendSome(now);
        endFaults(now, false);
        if (now >= nextFault) {
            injectFault(now);
            nextFault = now + between(50, 500);
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    endFaults(steady::now(), true);
    checkCalm();
    if (m_options.move) {
        checkMove();
    }
    checkRuns();
    const std::lock_guard lock(m_mutex);
    return m_broken;
}

void soak_run::sendSome(steady::time_point now)
{
    const double seconds = std::chrono::duration<double>(now - m_started).count();
    for (; m_owed < seconds * m_options.requestsPerSecond; m_owed += 1) {
        sent_request sent;
        sent.order = below(4) == 0;
        sent.request = sent.order ? m_site.orderRequest() : m_site.queryRequest();
        sent.node = m_names[below(m_names.size())];
        sent.at = now;
        {
            const std::lock_guard lock(m_mutex);
            m_sent[sent.request.id] = sent;
            ++m_open;
        }
        const std::string address = m_site.addresses(sent.node).callers;
        boost::asio::post(m_site.loop(), [this, sent, address] {
            m_site.caller().send(address, sent.request, [this, sent](const site_caller::answer &answer) { ended(sent, answer); });
        });
    }
}

void soak_run::ended(const sent_request &sent, const site_caller::answer &answer)
{
    const std::lock_guard lock(m_mutex);
    --m_open;
    ++m_statuses[answer.status];
    if (sent.order) {
        m_orderStatus[sent.request.id] = answer.status;
    } else {
        checkQuery(sent, answer);
    }
    checkTimes(sent, answer);
}

void soak_run::checkQuery(const sent_request &sent, const site_caller::answer &answer)
{
    if (answer.status != 200) {
        return;
    }
    std::string problem;
    for (const auto &shards : m_shardSets) {
        const auto &options = m_site.settings();
        problem = site_caller::problemOf(answer, sent.request, shards, options.records, options.top, options.leastCoverage);
        if (problem.empty()) {
            return;
        }
    }
    broken(fmt::format("query {} through {}: {}", sent.request.id, sent.node, problem));
}

void soak_run::checkTimes(const sent_request &sent, const site_caller::answer &answer)
{
    const node_trouble &trouble = m_troubles[sent.node];
    // A node that was killed, paused or started since shortly before the request owes nothing.
    if (trouble.killedAt + std::chrono::seconds(2) > sent.at) {
        return;
    }
    const milliseconds limit = sent.order ? milliseconds(3000) : m_site.settings().queryTimeout;
    if (answer.status != 0 && answer.latency > limit + LATE) {
        broken(fmt::format("request {} through {} was answered after {} ms", sent.request.id, sent.node, answer.latency.count() / 1000));
    }
    if (answer.status == 0 && answer.latency > READ_TIME) {
        broken(fmt::format("request {} through {} ended without an answer after {} ms", sent.request.id, sent.node, answer.latency.count() / 1000));
    }
}

void soak_run::injectFault(steady::time_point now)
{
    switch (below(10)) {
    case 0:
    case 1:
    case 2:
        disturbNode(now);
        break;
    case 3:
    case 4:
    case 5:
    case 6:
        disturbServer(now);
        break;
    case 7:
    case 8:
        disturbStore(now);
        break;
    default:
        changeSite(now);
    }
}

void soak_run::disturbNode(steady::time_point now)
{
    const std::string name = m_names[below(m_names.size())];
    if (m_busyNodes.contains(name)) {
        return;
    }
    const auto kind = below(4);
    const auto pause = between(100, 1500);
    child_process &process = m_site.node(name);
    if (kind == 0) {
        note("SIGHUP " + name);
        process.signal(SIGHUP);
        return;
    }
    m_busyNodes.insert(name);
    if (kind == 1) {
        note(fmt::format("pause {} for {} ms", name, pause.count()));
        {
            const std::lock_guard lock(m_mutex);
            m_troubles[name].killedAt = now + pause;
        }
        process.signal(SIGSTOP);
        later(now + pause, "continue " + name, [this, name] {
            m_site.node(name).signal(SIGCONT);
            m_busyNodes.erase(name);
        });
    } else if (kind == 2) {
        note("kill " + name);
        {
            const std::lock_guard lock(m_mutex);
            m_troubles[name].killedAt = now + pause;
        }
        process.signal(SIGKILL);
        later(now + pause, "start " + name, [this, name] { restart(name, false); });
    } else {
        note("stop " + name);
        process.signal(SIGTERM);
        const milliseconds grace(static_cast<int>(m_site.settings().graceSeconds * 1000));
        later(now + grace, "start " + name, [this, name] { restart(name, true); });
    }
}

void soak_run::restart(const std::string &name, bool planned)
{
    const int result = m_site.node(name).wait();
    if (planned && result != 0) {
        broken(fmt::format("{} ended with {} after a planned stop", name, result));
    }
    m_site.startNode(name, "zone-" + std::to_string(name.back() % 2));
    const std::lock_guard lock(m_mutex);
    m_troubles[name].killedAt = steady::now();
    m_busyNodes.erase(name);
}

void soak_run::disturbServer(steady::time_point now)
{
    m_site.onLoop([&] {
        auto &proxies = m_site.serverProxies();
        const std::size_t index = below(proxies.size());
        const auto until = now + between(200, 1500);
        if (below(2) == 0) {
            const auto fault = static_cast<loopback_proxy::fault>(1 + below(4));
            note(fmt::format("connections of server {}: fault {}", index, static_cast<int>(fault)));
            proxies[index]->setFault(fault);
            later(until, "", [this, index] { m_site.onLoop([&] { m_site.serverProxies()[index]->setFault(loopback_proxy::fault::none); }); });
            return;
        }
        const auto &shards = m_shardSets[m_shardSet];
        const std::string service = below(3) == 0 ? site_emulator::PLAIN_SERVICE : shards[below(shards.size())];
        const auto servers = m_site.serversOf(service);
        site_backend *server = servers[below(servers.size())];
        site_backend::faults faults;
        switch (below(4)) {
        case 0:
            faults.errors = 40;
            break;
        case 1:
            faults.refused = 50;
            break;
        case 2:
            faults.lostAnswers = 20;
            break;
        default:
            faults.slower = milliseconds(120);
        }
        note(fmt::format("server {} errors={} refused={} lost={} slower={}",
                         server->settings().id,
                         faults.errors,
                         faults.refused,
                         faults.lostAnswers,
                         faults.slower.count()));
        server->setFaults(faults);
        later(until, "", [this, server] { m_site.onLoop([&] { server->setFaults({}); }); });
    });
}

void soak_run::disturbStore(steady::time_point now)
{
    const auto until = now + between(200, 2500);
    m_site.onLoop([&] {
        const auto kind = below(4);
        if (kind == 0) {
            note("the store forgets its history");
            m_site.store().forgetHistory();
        } else if (kind == 1) {
            const bool silent = below(2) == 0;
            note(silent ? "the store is silent" : "the store refuses");
            m_site.store().setCondition(silent ? site_store::condition::silent : site_store::condition::refusing);
            later(until, "", [this] { m_site.onLoop([&] { m_site.store().setCondition(site_store::condition::sound); }); });
        } else {
            const std::string name = m_names[below(m_names.size())];
            const auto fault = static_cast<loopback_proxy::fault>(1 + below(4));
            note(fmt::format("store connections of {}: fault {}", name, static_cast<int>(fault)));
            m_site.storeProxy(name).setFault(fault);
            later(until, "", [this, name] { m_site.onLoop([&] { m_site.storeProxy(name).setFault(loopback_proxy::fault::none); }); });
        }
    });
}

void soak_run::changeSite(steady::time_point now)
{
    if (below(2) == 0) {
        m_shardSet = 1 - m_shardSet;
        note(fmt::format("reshard to set {}", m_shardSet));
        m_site.configure([&](json &configuration) { configuration["routes"][0]["gather"] = m_shardSets[m_shardSet]; });
        return;
    }
    m_site.onLoop([&] {
        const auto &shards = m_shardSets[m_shardSet];
        site_backend *server = m_site.serversOf(shards[below(shards.size())]).front();
        note("server " + server->settings().id + " drains");
        server->report("draining");
        later(now + between(500, 2000), "", [this, server] { m_site.onLoop([&] { server->report("ready"); }); });
    });
}

void soak_run::endFaults(steady::time_point now, bool all)
{
    for (std::size_t i = 0; i < m_pending.size();) {
        if (!all && now < m_pending[i].at) {
            ++i;
            continue;
        }
        const pending_end due = m_pending[i];
        m_pending.erase(m_pending.begin() + static_cast<std::ptrdiff_t>(i));
        if (!due.what.empty()) {
            note(due.what);
        }
        due.action();
    }
}

void soak_run::checkCalm()
{
    note("calm");
    for (const std::string &name : m_names) {
        if (!m_site.waitReady(name)) {
            broken(name + " is not ready after the last fault");
        }
    }
    // The newest configuration has to be in force on each node, and almost all requests served, within the time of recovery.
    const auto &shards = m_shardSets[m_shardSet];
    const auto &options = m_site.settings();
    const auto until = steady::now() + RECOVERY;
    for (const std::string &name : m_names) {
        std::string problem = "no answer";
        while (!problem.empty() && steady::now() < until) {
            const site_caller::request request = m_site.queryRequest();
            const site_caller::answer answer = m_site.call(m_site.addresses(name).callers, request);
            problem = answer.status == 200 ? site_caller::problemOf(answer, request, shards, options.records, options.top, options.leastCoverage)
                                           : fmt::format("status {}", answer.status);
            std::this_thread::sleep_for(milliseconds(20));
        }
        if (!problem.empty()) {
            broken(fmt::format("{} does not serve the newest configuration after the recovery: {}", name, problem));
        }
    }
    int served = 0;
    constexpr int CALM_REQUESTS = 60;
    for (int i = 0; i < CALM_REQUESTS; ++i) {
        const std::string &name = m_names[static_cast<std::size_t>(i) % m_names.size()];
        served += m_site.query(name).status == 200 ? 1 : 0;
    }
    if (served < SERVED_IN_CALM * CALM_REQUESTS) {
        broken(fmt::format("only {} of {} queries are served in the calm", served, CALM_REQUESTS));
    }
    site_emulator::waitFor([this] {
        const std::lock_guard lock(m_mutex);
        return m_open == 0;
    });
}

void soak_run::orderMove()
{
    const bool bad = below(2) == 0;
    for (const char *domain : {"zone-0", "zone-1"}) {
        m_site.addServer(site_emulator::PLAIN_SERVICE, domain, "v2");
    }
    m_site.onLoop([&] {
        for (site_backend *server : m_site.serversOf(site_emulator::PLAIN_SERVICE)) {
            if (bad && server->settings().version == "v2") {
                server->setFaults({60, 0, 0, false, milliseconds(0)});
            }
        }
        const auto seconds = m_options.trouble.count();
        m_site.store().put(
            "rollouts", site_emulator::PLAIN_SERVICE, {{"service", site_emulator::PLAIN_SERVICE}, {"target_version", "v2"}, {"finish_by_s", seconds}});
    });
    note(bad ? "move to a bad version" : "move to a good version");
}

void soak_run::checkMove()
{
    std::string state;
    site_emulator::waitFor([&] {
        const json object = m_site.onLoop([&] { return m_site.store().find("rollouts", site_emulator::PLAIN_SERVICE); });
        state = object["status"].is_object() ? object["status"].value("state", "") : "";
        return state == "done" || state == "rolled_back";
    });
    if (state != "done" && state != "rolled_back") {
        broken("the move has no end: " + state);
        return;
    }
    const std::string stopped = state == "done" ? "v1" : "v2";
    const auto arrivals = [&] {
        return m_site.onLoop([&] {
            std::uint64_t sum = 0;
            for (const site_backend *server : m_site.serversOf(site_emulator::PLAIN_SERVICE)) {
                sum += server->settings().version == stopped ? server->arrivals() : 0;
            }
            return sum;
        });
    };
    const bool quiet = site_emulator::waitFor([&] {
        const std::uint64_t before = arrivals();
        for (std::size_t i = 0; i < 10 * m_names.size(); ++i) {
            const site_caller::request request = m_site.orderRequest();
            {
                const std::lock_guard lock(m_mutex);
                m_sent[request.id] = {request, m_names[i % m_names.size()], true, steady::now()};
            }
            m_site.call(m_site.addresses(m_names[i % m_names.size()]).callers, request);
        }
        return arrivals() == before;
    });
    if (!quiet) {
        broken(fmt::format("version {} still gets requests after the move ended as {}", stopped, state));
    }
}

void soak_run::checkRuns()
{
    std::map<std::string, int> orderRuns;
    m_site.onLoop([&] {
        for (site_backend *server : m_site.serversOf(site_emulator::PLAIN_SERVICE)) {
            for (const site_backend::run &run : server->runs()) {
                ++orderRuns[run.requestId];
                const std::lock_guard lock(m_mutex);
                const auto sent = m_sent.find(run.requestId);
                if (sent == m_sent.end() || sent->second.request.target != run.target || sent->second.request.body != run.body
                    || sent->second.request.method != run.method) {
                    broken("a server ran a request that no caller sent: " + run.requestId);
                }
            }
        }
    });
    const std::lock_guard lock(m_mutex);
    for (const auto &[id, runs] : orderRuns) {
        if (runs > 1) {
            broken(fmt::format("order {} ran {} times", id, runs));
        }
        const auto status = m_orderStatus.find(id);
        if (status != m_orderStatus.end() && (status->second == 503 || status->second == 429 || status->second == 408 || status->second == 421)) {
            broken(fmt::format("order {} was refused with {} and ran", id, status->second));
        }
    }
}

void soak_run::broken(const std::string &what)
{
    const double seconds = std::chrono::duration<double>(steady::now() - m_started).count();
    const std::lock_guard lock(m_mutex);
    m_broken.push_back(fmt::format("{:.2f} s: {}", seconds, what));
}

void soak_run::note(const std::string &what)
{
    const double seconds = std::chrono::duration<double>(steady::now() - m_started).count();
    m_history.push_back(fmt::format("{:.2f} s: {}", seconds, what));
}

void soak_run::later(steady::time_point at, const std::string &what, std::function<void()> action)
{
    m_pending.push_back({at, what, std::move(action)});
}

milliseconds soak_run::between(int leastMs, int mostMs)
{
    return milliseconds(leastMs + static_cast<int>(below(static_cast<std::size_t>(mostMs - leastMs))));
}

std::string soak_run::summary() const
{
    const std::lock_guard lock(m_mutex);
    std::string text = fmt::format("sent {}, faults {}, statuses", m_sent.size(), m_history.size());
    for (const auto &[status, count] : m_statuses) {
        text += fmt::format(" {}:{}", status, count);
    }
    return text;
}

} // namespace snipefall
