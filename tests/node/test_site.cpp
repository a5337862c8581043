#include "tests/node/test_site.h"

#include <chrono>
#include <fstream>
#include <random>
#include <set>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include "core/clock.h"
#include "core/crypto.h"
#include "core/invariant.h"
#include "http/http_call.h"
#include "policy/uuid_v7.h"
#include "tests/stand_ins/free_port.h"

namespace snipefall {

namespace {

constexpr std::chrono::seconds WAIT_LIMIT{60};
constexpr std::chrono::milliseconds WAIT_STEP{20};

} // namespace

test_site::test_site()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "snipefall-test-XXXXXX").string();
    m_directory = mkdtemp(pattern.data());
    m_platform = std::make_unique<stand_in_platform>("127.0.0.1", freePort());
    const std::string problem = m_platform->start();
    SNIPEFALL_INVARIANT(problem.empty(), problem.c_str());
}

test_site::~test_site()
{
    m_nodes.clear();
    m_servers.clear();
    m_platform.reset();
    std::filesystem::remove_all(m_directory);
}

stand_in_backend_options test_site::defaultOptions()
{
    stand_in_backend_options options;
    options.service = "svc";
    options.shards = 12;
    options.latencyMs = 3;
    options.threads = 64;
    return options;
}

stand_in_backend &test_site::addServer(const std::string &id, const std::string &domain, stand_in_backend_options options)
{
    options.serverId = id;
    options.domain = domain;
    options.port = freePort();
    const std::string version = options.version;
    running_server &added = m_servers[id];
    added = {domain, version, "", std::make_unique<stand_in_backend>(std::move(options)), nullptr};
    added.address = added.server->address();
    const std::string problem = added.server->start();
    SNIPEFALL_INVARIANT(problem.empty(), problem.c_str());
    return *added.server;
}

void test_site::addServerProcess(const std::string &id, const std::string &domain)
{
    running_server &added = m_servers[id];
    added = {domain, "v1", freeAddress(), nullptr, nullptr};
    const std::vector<std::string> arguments{
        "--address", added.address, "--service", "svc", "--server-id", id, "--domain", domain, "--shards", "12", "--latency-ms", "3"};
    added.process = std::make_unique<child_process>("stand_in_backend", arguments, (m_directory / (id + ".log")).string());
    SNIPEFALL_INVARIANT(waitFor([&] { return call(added.address, "GET", "/status", nullptr).status == 200; }),
                        "a backend server process did not answer /status within the time limit");
}

void test_site::publishVms()
{
    std::vector<vm_entry> vms;
    for (const auto &[id, running] : m_servers) {
        vms.push_back({id, running.address, service_id("svc"), version_id(running.version), failure_domain_id(running.domain), "live"});
    }
    for (const auto &[name, running] : m_nodes) {
        vms.push_back({name, running.addresses.callers, service_id(), version_id(), failure_domain_id(running.domain), "live"});
    }
    m_platform->store().setVms(std::move(vms));
}

std::string test_site::keyFileOf(const std::string &group) const
{
    std::string keyFile = m_directory / (group + ".key");
    // Writes the file only once, because nodes that are starting may be reading it.
    if (!std::filesystem::exists(keyFile)) {
        std::ofstream(keyFile) << group << ":" << sha256Hex(group) << "\n";
        chmod(keyFile.c_str(), S_IRUSR | S_IWUSR);
    }
    return keyFile;
}

void test_site::startNode(const std::string &name, const std::string &domain, const std::string &group)
{
    std::string seeds;
    for (const auto &[other, running] : m_nodes) {
        if (other != name && running.group == group) {
            seeds += (seeds.empty() ? "" : ",") + running.addresses.peers;
        }
    }
    running_node &started = m_nodes[name];
    started.process.reset();
    started.addresses = {freeAddress(), freeAddress(), freeAddress()};
    started.domain = domain;
    started.group = group;
    std::vector<std::string> arguments{"--node-id",
                                       name,
                                       "--domain",
                                       domain,
                                       "--caller-address",
                                       started.addresses.callers,
                                       "--operator-address",
                                       started.addresses.operators,
                                       "--peer-address",
                                       started.addresses.peers,
                                       "--platform-address",
                                       m_platform->address(),
                                       "--peer-key-file",
                                       keyFileOf(group),
                                       "--drain-margin-ms",
                                       "200"};
    if (!seeds.empty()) {
        arguments.insert(arguments.end(), {"--seed-peers", seeds});
    }
    started.process = std::make_unique<child_process>("snipefalld", arguments, (m_directory / (name + ".log")).string());
}

void test_site::startService(int nodes, const json &settings)
{
    for (int i = 1; i <= nodes; ++i) {
        startNode(fmt::format("node-{}", i), fmt::format("domain-{}", i));
    }
    publishVms();
    json service = {{"version", "v1"}};
    service.merge_patch(settings);
    const json merge = {{"entry_ttl_ms", 300}, {"services", {{"svc", service}}}};
    SNIPEFALL_INVARIANT(waitFor([&] { return patch("node-1", merge).status == 200; }),
                        "node-1 did not accept the initial configuration patch within the time limit");
    for (const std::string &name : nodeNames()) {
        SNIPEFALL_INVARIANT(waitFor([&] { return query(name).status == 200; }), "a node does not answer queries with status 200 within the time limit");
    }
}

std::vector<std::string> test_site::nodeNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, running] : m_nodes) {
        names.push_back(name);
    }
    return names;
}

test_site::answer
test_site::call(const std::string &address, const std::string &method, const std::string &target, const json &body, const std::string &requestId) const
{
    http_call call;
    call.address = address;
    call.method = method;
    call.target = target;
    call.timeoutMs = 15000;
    call.connectTimeoutMs = 2000;
    call.headers = {{"Request-Id", requestId.empty() ? newRequestId() : requestId}};
    call.body = body.is_null() ? "" : body.dump();
    const http_call_result result = executeHttpCall(call);
    if (result.status != transport_status::ok) {
        return {};
    }
    return {result.response.status, json::parse(result.response.body, nullptr, false)};
}

test_site::answer test_site::query(const std::string &node, const json &query) const
{
    return call(addresses(node).callers, "POST", "/v1/services/svc/query", {{"query", query}});
}

test_site::answer test_site::execute(const std::string &node, const std::string &requestId) const
{
    return call(addresses(node).callers, "POST", "/v1/services/svc/execute", {{"body", {{"order", "maple"}}}}, requestId);
}

test_site::answer test_site::executeUntilSettled(const std::string &requestId) const
{
    const std::vector<std::string> nodes = nodeNames();
    answer last;
    std::size_t attempt = 0;
    BOOST_TEST(waitFor([&] {
        last = execute(nodes[attempt++ % nodes.size()], requestId);
        return last.reflectsClaim();
    }));
    return last;
}

test_site::answer test_site::patch(const std::string &node, const json &merge) const
{
    const json patch = {
        {"patch_id", "patch-" + newRequestId()}, {"base_version", configVersion(node)}, {"author", "test"}, {"reason", "test"}, {"merge", merge}};
    return call(addresses(node).operators, "POST", "/v1/config/patches", patch);
}

std::uint64_t test_site::configVersion(const std::string &node) const
{
    return jsonValue<std::uint64_t>(call(addresses(node).operators, "GET", "/v1/config", nullptr).body, "version", 0);
}

std::uint64_t test_site::permitsOf(const std::string &node) const
{
    const json status = call(addresses(node).operators, "GET", "/v1/status", nullptr).body;
    return status.is_object() ? jsonValue<std::uint64_t>(status.value("permits", json::object()), "svc", 0) : 0;
}

bool test_site::waitFor(const std::function<bool()> &condition)
{
    const time_point end = system_clock().now() + WAIT_LIMIT;
    while (system_clock().now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(WAIT_STEP);
    }
    return false;
}

std::uint64_t test_site::runsOf(const std::string &requestId) const
{
    std::uint64_t runs = 0;
    for (const auto &[id, running] : m_servers) {
        for (const json &entry : running.server ? running.server->state()["runs"] : json::array()) {
            runs += entry["request_id"] == requestId ? entry["runs"].get<std::uint64_t>() : 0;
        }
    }
    return runs;
}

bool test_site::labelMatchesResults(const json &answer, std::uint64_t itemsPerShard)
{
    const json &covered = answer.at("coverage");
    std::set<std::uint64_t> shards;
    for (const json &item : answer.at("results")) {
        if (item.at("snapshot") != answer.at("snapshot") || item.at("version") != answer.at("version")) {
            return false;
        }
        shards.insert(item.at("shard").get<std::uint64_t>());
    }
    const auto total = covered.at("shards_total").get<std::uint64_t>();
    return covered.at("shards_answered") == shards.size() && covered.at("items_seen") == shards.size() * itemsPerShard
        && covered.at("items_total") == total * itemsPerShard && covered.at("missing").size() == total - shards.size();
}

std::string test_site::newRequestId()
{
    thread_local std::mt19937_64 s_random{std::random_device()()};
    return uuid_v7::generate(wallClockMs(), s_random(), s_random()).text();
}

} // namespace snipefall
