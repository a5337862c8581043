#include <charconv>
#include <cstdio>
#include <map>
#include <sstream>
#include <string>

#include <getopt.h>

#include "core/logger.h"
#include "http/http_call.h"
#include "tests/stand_ins/stand_in_backend.h"
#include "tests/stand_ins/stop_signals.h"

namespace {

using namespace snipefall;

constexpr const char *USAGE = "usage: stand_in_backend --address ip:port [--service S] [--version V] [--server-id ID] [--domain D] [--shards N]\n"
                              "    [--held i,j,k|all] [--snapshots s1,s2] [--items-per-shard N] [--slots N] [--queue N] [--connections N]\n"
                              "    [--latency-ms N] [--connect-cost-ms N] [--threads N] [--seed N]\n";

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

template <typename Number>
bool parseNumber(const std::string &text, Number &number)
{
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() && number >= 0;
}

bool parseHeld(const std::string &text, std::set<std::uint32_t> &held)
{
    if (text == "all") {
        return true;
    }
    for (const std::string &part : splitList(text)) {
        std::uint32_t shard = 0;
        if (!parseNumber(part, shard)) {
            return false;
        }
        held.insert(shard);
    }
    return !held.empty();
}

bool applyFlag(const std::string &name, const std::string &value, stand_in_backend_options &options)
{
    const std::map<std::string, std::string *> texts = {
        {"service", &options.service}, {"version", &options.version}, {"server-id", &options.serverId}, {"domain", &options.domain}};
    const std::map<std::string, unsigned *> counts = {{"shards", &options.shards},
                                                      {"slots", &options.slots},
                                                      {"queue", &options.queue},
                                                      {"connections", &options.connections},
                                                      {"threads", &options.threads}};
    const std::map<std::string, long *> times = {{"latency-ms", &options.latencyMs}, {"connect-cost-ms", &options.connectCostMs}};
    if (const auto text = texts.find(name); text != texts.end()) {
        *text->second = value;
        return true;
    }
    if (const auto count = counts.find(name); count != counts.end()) {
        return parseNumber(value, *count->second);
    }
    if (const auto time = times.find(name); time != times.end()) {
        return parseNumber(value, *time->second);
    }
    if (name == "address") {
        return splitAddress(value, options.host, options.port);
    }
    if (name == "held") {
        return parseHeld(value, options.held);
    }
    if (name == "snapshots") {
        options.snapshots = splitList(value);
        return true;
    }
    return parseNumber(value, name == "seed" ? options.seed : options.itemsPerShard);
}

} // namespace

int main(int argc, char **argv)
{
    stand_in_backend_options options;
    const char *names[] = {"address",
                           "service",
                           "version",
                           "server-id",
                           "domain",
                           "shards",
                           "held",
                           "snapshots",
                           "items-per-shard",
                           "slots",
                           "queue",
                           "threads",
                           "connections",
                           "latency-ms",
                           "connect-cost-ms",
                           "seed"};
    std::vector<option> flags;
    for (const char *name : names) {
        flags.push_back({name, required_argument, nullptr, 1});
    }
    flags.push_back({"help", no_argument, nullptr, 'h'});
    flags.push_back({nullptr, 0, nullptr, 0});
    int index = 0;
    for (int flag = 0; (flag = getopt_long(argc, argv, "", flags.data(), &index)) != -1;) {
        if (flag != 1) {
            std::fputs(USAGE, flag == 'h' ? stdout : stderr);
            return flag == 'h' ? 0 : 2;
        }
        if (!applyFlag(flags[static_cast<std::size_t>(index)].name, optarg, options)) {
            std::fprintf(stderr, "--%s: invalid value: %s\n", flags[static_cast<std::size_t>(index)].name, optarg);
            return 2;
        }
    }
    if (options.port == 0) {
        std::fputs(USAGE, stderr);
        return 2;
    }
    blockStopSignals();
    stand_in_backend backend(options);
    const std::string problem = backend.start();
    if (!problem.empty()) {
        logError("start_failed", {{"reason", problem}});
        return 1;
    }
    logInfo("listening", {{"address", backend.address()}, {"server", options.serverId}});
    waitForStopSignal();
    backend.stop();
    return 0;
}
