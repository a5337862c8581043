#include <algorithm>
#include <chrono>
#include <fstream>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include <getopt.h>

#include <fmt/format.h>

#include "core/json.h"
#include "node/placement_cache.h"
#include "policy/forwarding_router.h"
#include "policy/member.h"
#include "policy/placement.h"

using namespace snipefall;

namespace {

constexpr std::size_t MEMBERS = 470;
constexpr std::size_t SERVICES = 50;
constexpr std::size_t DOMAINS = 8;
constexpr std::size_t DEFAULT_ROUNDS = 400;
constexpr double PERCENTILES[] = {0.50, 0.90, 0.99, 1.00};

std::vector<member> makeMembers()
{
    std::vector<member> members;
    for (std::size_t i = 0; i < MEMBERS; ++i) {
        member peer;
        peer.id = node_id(fmt::format("node-{}", i));
        peer.peerAddress = fmt::format("10.0.{}.{}:7000", i / 250, i % 250);
        peer.callerAddress = fmt::format("10.0.{}.{}:8000", i / 250, i % 250);
        peer.domain = failure_domain_id(fmt::format("domain-{}", i % DOMAINS));
        peer.started = incarnation(1'790'000'000'000 + i);
        members.push_back(std::move(peer));
    }
    return members;
}

/** Does what peer_controller::placementMembers() does, without its locks: copies the members, sorts them and selects the live ones. */
std::vector<placement_member> placementMembers(const std::vector<member> &known)
{
    std::vector<member> all = known;
    std::sort(all.begin(), all.end(), [](const member &a, const member &b) { return a.id < b.id; });
    std::vector<placement_member> live;
    for (const member &peer : all) {
        if (isLive(peer.state)) {
            live.push_back({peer.id, peer.firstStarted(), peer.domain, 1.0, peer.callerAddress});
        }
    }
    return live;
}

/** Decides where a node without a permit share forwards a request, as permit_controller::route() does. */
forwarding_decision decide(const permit_record &record, std::size_t number, std::span<const placement_member> live, std::span<const placement_member> placed)
{
    forwarding_input input;
    input.self = node_id("node-without-share");
    input.request = request_id(std::to_string(number));
    input.record = &record;
    input.live = live;
    input.placed = placed;
    return decideForwarding(input);
}

/** Reports PERCENTILES of the time of a decision over all rounds, in microseconds; a round counts with the mean over its services. */
json measure(const std::string &name, std::size_t rounds, const std::function<forwarding_decision(std::size_t service, std::size_t number)> &route)
{
    std::vector<double> micros;
    std::size_t forwarded = 0;
    for (std::size_t round = 0; round < rounds; ++round) {
        const auto start = std::chrono::steady_clock::now();
        for (std::size_t service = 0; service < SERVICES; ++service) {
            forwarded += route(service, round * SERVICES + service).kind == forwarding_action::forward ? 1 : 0;
        }
        micros.push_back(std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() / SERVICES);
    }
    std::sort(micros.begin(), micros.end());
    fmt::print("{:<24}", name);
    json row = {{"name", name}, {"decisions", rounds * SERVICES}, {"forwarded", forwarded}};
    for (const double percentile : PERCENTILES) {
        const double value = micros[std::min(micros.size() - 1, static_cast<std::size_t>(percentile * static_cast<double>(micros.size())))];
        fmt::print(" {:>9.2f}", value);
        row["micros"].push_back(value);
    }
    fmt::print("\n");
    return row;
}

} // namespace

/** Usage: bench_route_decision [--rounds N] [--json FILE] */
int main(int argc, char **argv)
{
    const option options[] = {{"rounds", required_argument, nullptr, 'r'}, {"json", required_argument, nullptr, 'j'}, {nullptr, 0, nullptr, 0}};
    std::size_t rounds = DEFAULT_ROUNDS;
    std::string file;
    for (int flag = 0; (flag = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        if (flag == 'r') {
            rounds = std::max(1UL, std::strtoul(optarg, nullptr, 10));
        } else if (flag == 'j') {
            file = optarg;
        } else {
            return 2;
        }
    }
    const std::vector<member> members = makeMembers();
    const std::vector<placement_member> live = placementMembers(members);
    std::vector<service_id> services;
    std::vector<permit_record> records;
    for (std::size_t i = 0; i < SERVICES; ++i) {
        services.emplace_back(fmt::format("service-{}", i));
        std::vector<permit_entry> ring;
        for (const placement_member &peer : placeService(services[i], live, MAX_PERMIT_HOLDERS)) {
            ring.push_back({peer.id, peer.started, {1, 10}});
        }
        records.emplace_back(1, std::move(ring));
    }
    placement_cache cache([] { return 1; }, [&members] { return placementMembers(members); });
    fmt::print("{} members, {} services; us per decision\n{:<24} {:>9} {:>9} {:>9} {:>9}\n", MEMBERS, SERVICES, "placement", "p50", "p90", "p99", "max");
    json rows = json::array();
    rows.push_back(measure("computed each time", rounds, [&](std::size_t service, std::size_t number) {
        const std::vector<placement_member> current = placementMembers(members);
        return decide(records[service], number, current, placeService(services[service], current, MAX_PERMIT_HOLDERS));
    }));
    rows.push_back(measure("cached by version", rounds, [&](std::size_t service, std::size_t number) {
        const auto placement = cache.placementOf(services[service]);
        return decide(records[service], number, *placement->live, placement->placed);
    }));
    if (!file.empty()) {
        std::ofstream(file) << json{{"members", MEMBERS}, {"services", SERVICES}, {"rows", rows}}.dump(2) << "\n";
    }
    return 0;
}
