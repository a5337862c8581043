#include "tests/stand_ins/site_emulator.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <boost/asio/post.hpp>
#include <fcntl.h>
#include <fmt/format.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

#include "core/invariant.h"
#include "tests/stand_ins/free_port.h"

namespace snipefall {

namespace {

/** Far longer than any step takes, since the tests assert no times. */
constexpr std::chrono::seconds WAIT_TIMEOUT(60);
/** Time from the crash of a backend server until it listens again. */
constexpr std::chrono::milliseconds CRASH_DOWNTIME(400);

std::string createTemporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "snipefall-site-XXXXXX").string();
    return mkdtemp(pattern.data());
}

std::string readFile(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

} // namespace

site_emulator::site_emulator(options settings)
    : m_options(settings)
    , m_folder(createTemporaryFolder())
    , m_workGuard(boost::asio::make_work_guard(m_loop))
    , m_thread([this] { m_loop.run(); })
{
    onLoop([this] {
        m_store = std::make_unique<site_store>(m_loop);
        m_caller = std::make_unique<site_caller>(m_loop);
        m_usageReceiver = std::make_unique<site_usage_receiver>(m_loop, USAGE_LEASE);
    });
    for (std::size_t i = 0; i < m_options.shards; ++i) {
        m_shards.push_back("shard-" + std::to_string(i));
        for (std::size_t k = 0; k < m_options.serversPerShard; ++k) {
            addServer(m_shards.back(), "zone-" + std::to_string(k));
        }
    }
    for (std::size_t k = 0; k < m_options.unshardedServers; ++k) {
        addServer(UNSHARDED_SERVICE, "zone-" + std::to_string(k % 2));
    }
    m_configuration = {
        {"version", 1},
        {"routes",
         json::array({{{"name", "query"},
                       {"host", HOST},
                       {"path_prefix", "/query/"},
                       {"route_kind", "idempotent"},
                       {"timeout_ms", m_options.queryTimeout.count()},
                       {"target_latency_ms", m_options.queryTargetLatency.count()},
                       {"priority", 1},
                       {"attempts", 2},
                       {"gather", m_shards},
                       {"top_k", m_options.top},
                       {"min_coverage", m_options.minCoverageShare}},
                      {{"name", "order"},
                       {"host", HOST},
                       {"path_prefix", "/order/"},
                       {"route_kind", "non_idempotent"},
                       {"timeout_ms", 3000},
                       {"target_latency_ms", 400},
                       {"priority", 1},
                       {"attempts", 2},
                       {"service", UNSHARDED_SERVICE}}})},
        {"services", json::array()},
        {"limits",
         {{"max_header_bytes", m_options.maxHeaderBytes}, {"max_body_bytes", m_options.maxBodyBytes}, {"header_timeout_ms", 2000}, {"idle_timeout_ms", 5000}}}};
    configure([](json &) {});
}

site_emulator::~site_emulator()
{
    for (auto &[name, state] : m_nodes) {
        state.process.reset();
    }
    onLoop([this] {
        m_caller.reset();
        m_usageReceiver.reset();
        m_serverProxies.clear();
        for (auto &[name, state] : m_nodes) {
            state.storeProxy.reset();
        }
        m_servers.clear();
        m_store.reset();
        // Handlers that are already queued refer to these objects, so the loop runs no more of them.
        m_loop.stop();
    });
    m_workGuard.reset();
    m_thread.join();
    std::error_code ignored; // A temporary folder that can not be removed does not fail the test.
    std::filesystem::remove_all(m_folder, ignored);
}

std::string site_emulator::addServer(const std::string &service, const std::string &domain, const std::string &version)
{
    site_backend::options server;
    server.id = fmt::format("i-{}-{}", service, m_servers.size());
    server.service = service;
    server.domain = domain;
    server.version = version;
    server.work = m_options.work;
    server.records = service == UNSHARDED_SERVICE ? m_options.unshardedRecords : m_options.records;
    onLoop([&] {
        m_servers.push_back(std::make_unique<site_backend>(m_loop, *m_store, server));
        if (m_options.proxies) {
            m_serverProxies.push_back(std::make_unique<loopback_proxy>(m_loop, m_servers.back()->address()));
            m_servers.back()->advertise(m_serverProxies.back()->address());
        }
    });
    return server.id;
}

std::string site_emulator::pathOf(const std::string &node, const std::string &suffix) const
{
    return m_folder + "/" + node + suffix;
}

void site_emulator::writeSettingsFile(const std::string &name, unsigned retrySlack) const
{
    const node_state &state = m_nodes.at(name);
    json boot{
        {"node_name", name},
        {"zone", state.domain},
        {"listen_addrs",
         {{"front", state.addresses.callers}, {"ready", state.addresses.ready}, {"directory", state.addresses.directory}, {"control", state.addresses.peers}}},
        {"seeds", m_seeds},
        {"limits", {{"memory_mb", m_options.nodeMemoryMb}, {"max_fds", m_options.nodeDescriptors}}},
        {"bounds",
         {{"drain_ms", 3000},
          {"grace_s", m_options.graceSeconds},
          {"config_apply_ms", 3000},
          {"retry_budget_ratio", 0.2},
          {"retry_slack", retrySlack},
          {"retry_window_s", 10},
          {"canary_share", CANARY_SHARE},
          {"canary_slack", CANARY_SLACK},
          {"warmup_overrun", 1.5},
          {"warmup_slack", 5},
          {"ttl_max_s", 5}}},
        {"platform", {{"address", state.storeProxy ? state.storeProxy->address() : state.storeAddress}}}};
    if (m_options.usageWindow.count() > 0) {
        boot["cloud_api"] = {{"address", m_usageReceiver->address()}, {"duties", {"usage_report"}}, {"duty_per_s", 50}};
        boot["bounds"]["report_window_s"] = std::chrono::duration<double>(m_options.usageWindow).count();
        boot["bounds"]["lease_ms"] = USAGE_LEASE.count();
    }
    std::ofstream(pathOf(name, ".json")) << boot.dump();
}

void site_emulator::startNode(const std::string &name, const std::string &domain)
{
    prepareNode(name, domain);
    launchNode(name);
}

void site_emulator::startNodeSlowly(const std::string &name, const std::string &domain, const std::function<void()> &whileStarting)
{
    prepareNode(name, domain);
    // The node blocks while it reads a FIFO without data. Later reads of the path find the regular file.
    const std::string path = pathOf(name, ".json");
    const std::string fifo = pathOf(name, ".fifo");
    const std::string regular = pathOf(name, ".regular");
    std::filesystem::rename(path, regular);
    SNIPEFALL_INVARIANT(mkfifo(fifo.c_str(), 0600) == 0, "a test can't create a FIFO");
    std::filesystem::rename(fifo, path);
    launchNode(name);
    // Opening succeeds once the node reads.
    int descriptor = -1;
    SNIPEFALL_INVARIANT(waitFor([&] { return (descriptor = open(path.c_str(), O_WRONLY | O_NONBLOCK)) >= 0; }), "the node doesn't open its settings file");
    std::filesystem::rename(regular, path);
    whileStarting();
    const std::string text = readFile(path);
    SNIPEFALL_INVARIANT(write(descriptor, text.data(), text.size()) == static_cast<ssize_t>(text.size()), "a test can't write to a FIFO");
    close(descriptor);
}

void site_emulator::prepareNode(const std::string &name, const std::string &domain)
{
    node_state &state = m_nodes[name];
    if (state.addresses.callers.empty()) {
        state.addresses = {freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress()};
        m_seeds.push_back(state.addresses.peers);
        onLoop([&] {
            state.storeAddress = m_store->openEntrance();
            if (m_options.proxies) {
                state.storeProxy = std::make_unique<loopback_proxy>(m_loop, state.storeAddress);
            }
        });
    }
    state.domain = domain;
    writeSettingsFile(name, m_options.retrySlack);
}

void site_emulator::launchNode(const std::string &name)
{
    node_state &state = m_nodes.at(name);
    const std::string metricsPort = state.addresses.metrics.substr(state.addresses.metrics.find(':') + 1);
    state.process = std::make_unique<child_process>(
        "snipefalld", std::vector<std::string>{"--boot", pathOf(name, ".json"), "--metrics-port", metricsPort}, pathOf(name, ".log"));
}

std::vector<std::string> site_emulator::nodeNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, state] : m_nodes) {
        names.push_back(name);
    }
    return names;
}

std::string site_emulator::logOf(const std::string &name) const
{
    return readFile(pathOf(name, ".log"));
}

bool site_emulator::waitFor(const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + WAIT_TIMEOUT;
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

void site_emulator::copyLogs(const std::string &folder) const
{
    std::filesystem::create_directories(folder);
    for (const auto &[name, state] : m_nodes) {
        std::filesystem::copy_file(pathOf(name, ".log"), std::filesystem::path(folder) / (name + ".log"), std::filesystem::copy_options::overwrite_existing);
    }
}

bool site_emulator::waitReady(const std::string &name)
{
    return waitFor([&] {
        site_caller::request request;
        request.target = "/snipefall/ready";
        request.host = "ready";
        return call(addresses(name).ready, request).status == 200;
    });
}

site_caller::answer site_emulator::call(const std::string &address, const site_caller::request &request)
{
    std::promise<site_caller::answer> answered;
    boost::asio::post(m_loop, [&] { m_caller->send(address, request, [&answered](site_caller::answer answer) { answered.set_value(std::move(answer)); }); });
    return answered.get_future().get();
}

std::string site_emulator::uniqueRequestId()
{
    return fmt::format("r{:08x}", ++m_lastId);
}

site_caller::request site_emulator::queryRequest()
{
    const std::string id = uniqueRequestId();
    return {"GET", HOST, "/query/" + id, "", id, m_options.queryTimeout};
}

site_caller::request site_emulator::orderRequest()
{
    const std::string id = uniqueRequestId();
    return {"POST", HOST, "/order/" + id, "order " + id, id, std::chrono::milliseconds(3000)};
}

site_caller::answer site_emulator::query(const std::string &node)
{
    return call(addresses(node).callers, queryRequest());
}

site_caller::answer site_emulator::order(const std::string &node)
{
    return call(addresses(node).callers, orderRequest());
}

std::string site_emulator::findAnswerProblem(const site_caller::answer &answer, const site_caller::request &request) const
{
    return site_caller::findAnswerProblem(answer, request, m_shards, m_options.records, m_options.top, m_options.minCoverageShare);
}

std::vector<std::string> site_emulator::directory(const std::string &node)
{
    site_caller::request request;
    request.target = std::string("/snipefall/resolve?name=") + HOST + "&region=r&zone=zone-0";
    request.host = "directory";
    const site_caller::answer answer = call(addresses(node).directory, request);
    if (answer.status != 200) {
        return {};
    }
    return json::parse(answer.body).at("addrs").get<std::vector<std::string>>();
}

void site_emulator::configure(const std::function<void(json &)> &change)
{
    onLoop([&] {
        change(m_configuration);
        m_configuration["version"] = m_configuration["version"].get<std::uint64_t>() + 3;
        m_store->put("config", "main", m_configuration);
    });
}

void site_emulator::crashServersOnTarget(const std::string &text)
{
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        m_servers[i]->crashOnTarget(text, [this, i] { crashServer(i, CRASH_DOWNTIME); });
    }
}

void site_emulator::crashServers(const std::function<bool(const site_backend &)> &selects, std::chrono::milliseconds downtime, std::chrono::milliseconds gap)
{
    std::chrono::milliseconds delay{0};
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        if (!selects(*m_servers[i])) {
            continue;
        }
        if (delay.count() == 0) {
            crashServer(i, downtime);
        } else {
            after(delay, [this, i, downtime] { crashServer(i, downtime); });
        }
        delay += gap;
    }
}

void site_emulator::after(std::chrono::milliseconds delay, std::function<void()> action)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            action();
        }
    });
}

void site_emulator::crashServer(std::size_t index, std::chrono::milliseconds downtime)
{
    m_serverProxies[index]->setFault(loopback_proxy::fault::refusing);
    after(downtime, [this, index] {
        if (index < m_serverProxies.size()) {
            m_serverProxies[index]->setFault(loopback_proxy::fault::none);
            m_servers[index]->advertise(m_serverProxies[index]->address());
            m_servers[index]->startNewRun();
        }
    });
}

std::vector<site_backend *> site_emulator::serversOf(const std::string &service)
{
    std::vector<site_backend *> found;
    for (const auto &server : m_servers) {
        if (server->settings().service == service) {
            found.push_back(server.get());
        }
    }
    return found;
}

} // namespace snipefall
