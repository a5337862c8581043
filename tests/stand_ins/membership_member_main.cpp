#include <algorithm>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <random>
#include <string>

#include <getopt.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fmt/format.h>

#include "core/clock.h"
#include "core/logger.h"
#include "peer/gossip_service.h"

using namespace snipefall;

namespace {

constexpr const char *USAGE = "usage: membership_member --id ID --peer-address IP:PORT [--seed IP:PORT]... [--drop-probability P] [--max-seconds N]\n"
                              "Reads commands from standard input: publish KEY, stats, quit. Writes events with wall-clock milliseconds to standard output.\n";

std::mutex s_printMutex;

struct options
{
    gossip_service_settings service;
    double dropProbability = 0;
    unsigned maxSeconds = 600; ///< The process ends itself after this time, so that a failed test run leaves no process behind.
};

bool parse(int argc, char **argv, options &parsed)
{
    const option known[] = {{"id", required_argument, nullptr, 'i'},
                            {"peer-address", required_argument, nullptr, 'a'},
                            {"seed", required_argument, nullptr, 's'},
                            {"drop-probability", required_argument, nullptr, 'd'},
                            {"max-seconds", required_argument, nullptr, 'm'},
                            {nullptr, 0, nullptr, 0}};
    member &self = parsed.service.self;
    for (int flag = getopt_long(argc, argv, "", known, nullptr); flag != -1; flag = getopt_long(argc, argv, "", known, nullptr)) {
        switch (flag) {
        case 'i':
            self.id = node_id(optarg);
            break;
        case 'a':
            self.peerAddress = optarg;
            break;
        case 's':
            parsed.service.seeds.emplace_back(optarg);
            break;
        case 'd':
            parsed.dropProbability = std::strtod(optarg, nullptr);
            break;
        case 'm':
            parsed.maxSeconds = static_cast<unsigned>(std::strtoul(optarg, nullptr, 10));
            break;
        default:
            return false;
        }
    }
    return !self.id.empty() && !self.peerAddress.empty() && optind == argc;
}

void print(const std::string &text)
{
    const std::lock_guard lock(s_printMutex);
    fmt::print("{} {}\n", wallClockMs(), text);
    std::fflush(stdout);
}

std::uint64_t cpuMicroseconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto toMicroseconds = [](const timeval &value) {
        return static_cast<std::uint64_t>(value.tv_sec) * 1000000 + static_cast<std::uint64_t>(value.tv_usec);
    };
    return toMicroseconds(usage.ru_utime) + toMicroseconds(usage.ru_stime);
}

std::uint64_t residentKilobytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t pages = 0;
    file >> pages >> pages;
    return pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)) / 1024;
}

void printStatistics(const gossip_service &service)
{
    const gossip_statistics counts = service.statistics();
    const std::vector<member> members = service.members();
    const auto live = std::count_if(members.begin(), members.end(), [](const member &known) { return isLive(known.state); });
    print(fmt::format("stats live={} datagrams_sent={} bytes_sent={} datagrams_received={} bytes_received={} refused={} processor_us={} resident_kb={}",
                      live,
                      counts.datagramsSent,
                      counts.bytesSent,
                      counts.datagramsReceived,
                      counts.bytesReceived,
                      counts.refused,
                      cpuMicroseconds(),
                      residentKilobytes()));
}

void publish(gossip_service &service, const std::string &key)
{
    fact item;
    item.key = key;
    item.kind = fact_kind::bad_version;
    item.payload = "a payload of the size of a usual fact, 48 bytes.";
    item.lifetime = std::chrono::minutes(5);
    print("published " + key);
    const auto published = service.publish(item);
    if (!published) {
        print("refused " + published.reason().message);
    }
}

} // namespace

int main(int argc, char **argv)
{
    options parsed;
    if (!parse(argc, argv, parsed)) {
        fmt::print(stderr, "{}", USAGE);
        return 2;
    }
    alarm(parsed.maxSeconds);
    setLogLevel(log_level::warning);
    member &self = parsed.service.self;
    self.callerAddress = self.peerAddress;
    self.domain = failure_domain_id("fd-" + std::to_string(std::hash<std::string>{}(self.id.str()) % 4));
    self.started = incarnation(wallClockMs());
    parsed.service.keys = {{"k1", "the key of the measurements"}};
    if (parsed.dropProbability > 0) {
        const auto random = std::make_shared<std::mt19937_64>(std::hash<std::string>{}(self.id.str()));
        parsed.service.sendFilter = [random, probability = parsed.dropProbability](const std::string &) {
            return std::uniform_real_distribution<double>()(*random) >= probability;
        };
    }
    gossip_callbacks callbacks;
    callbacks.onMemberEvent = [](const member_event &event) { print(fmt::format("member {} {}", toString(event.kind), event.subject.id.str())); };
    callbacks.onFact = [](const fact &received) { print("fact " + received.key); };
    gossip_service service(parsed.service, callbacks);
    if (const auto startFailure = service.start()) {
        fmt::print(stderr, "{}\n", startFailure->message);
        return 1;
    }
    print("started " + service.self().peerAddress);
    std::string line;
    while (std::getline(std::cin, line) && line != "quit") {
        if (line == "stats") {
            printStatistics(service);
        } else if (line.rfind("publish ", 0) == 0) {
            publish(service, line.substr(8));
        }
    }
    printStatistics(service);
    service.stop();
    return 0;
}
