#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <map>
#include <thread>
#include <vector>

#include <getopt.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fmt/format.h>

#include "bench/data_path/http_library_fan_out.h"
#include "bench/data_path/node_data_path.h"
#include "bench/data_path/shard_server_stub.h"
#include "http/fan_out_engine.h"

namespace {

using namespace snipefall;

constexpr unsigned SERVER_PROCESSES = 4;
constexpr unsigned ANSWER_BYTES = 200;
constexpr unsigned DEFAULT_IO_THREADS = 2; // The default of --io-threads of snipefalld.
constexpr unsigned DEFAULT_ROUNDS = 15;
constexpr unsigned SUB_REQUESTS_PER_ROUND = 4000;
constexpr unsigned WIDTHS[] = {10, 50, 150, 350};
constexpr unsigned MEMORY_WIDTH = 150;
constexpr unsigned MEMORY_QUERIES = 16;
constexpr unsigned ANSWER_DELAY_MS = 900; // Shorter than the time after which a connection counts as lost when it stays silent while a response is awaited.

double cpuSeconds()
{
    rusage used{};
    ::getrusage(RUSAGE_SELF, &used);
    const auto seconds = [](const timeval &time) { return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6; };
    return seconds(used.ru_utime) + seconds(used.ru_stime);
}

double residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

/** Sends the same sub-requests through fan_out_engine alone and keeps the response bodies. */
class engine_fan_out
{
public:
    engine_fan_out(const std::vector<std::string> &addresses, unsigned ioThreads)
        : m_addresses(addresses)
        , m_engine(ioThreads)
    {
    }

    void query()
    {
        const std::size_t width = m_addresses.size();
        std::vector<std::string> bodies(width);
        std::atomic<std::size_t> pending = width;
        for (std::size_t i = 0; i < width; ++i) {
            sub_request request;
            request.address = m_addresses[i];
            request.target = "/shards/query";
            request.body = subRequestBody(i);
            request.requestId = "bench";
            request.deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
            m_engine.submit(std::move(request), [&, i](sub_response response) {
                bodies[i] = std::move(response.body);
                if (--pending == 0) {
                    pending.notify_one();
                }
            });
        }
        for (std::size_t open = pending; open > 0; open = pending) {
            pending.wait(open);
        }
    }

private:
    const std::vector<std::string> &m_addresses;
    fan_out_engine m_engine;
};

template <typename Query>
double microsecondsPerQuery(unsigned queries, Query query)
{
    const double before = cpuSeconds();
    for (unsigned i = 0; i < queries; ++i) {
        query();
    }
    return (cpuSeconds() - before) / queries * 1e6;
}

void measureWidth(unsigned width, unsigned rounds, unsigned ioThreads)
{
    const shard_server_stub answerer(SERVER_PROCESSES, width, ANSWER_BYTES, 0);
    http_library_fan_out library(answerer.addresses());
    engine_fan_out engine(answerer.addresses(), ioThreads);
    node_data_path node(answerer.addresses(), ioThreads);
    const unsigned queries = std::max(4U, SUB_REQUESTS_PER_ROUND / width);
    std::vector<double> libraryCosts;
    std::vector<double> engineCosts;
    std::vector<double> nodeCosts;
    std::vector<double> planCosts;
    for (unsigned round = 0; round <= rounds; ++round) {
        const double libraryCost = microsecondsPerQuery(queries, [&] { library.query(); });
        const double engineCost = microsecondsPerQuery(queries, [&] { engine.query(); });
        const double nodeCost = microsecondsPerQuery(queries, [&] { node.query(); });
        const double planCost = microsecondsPerQuery(queries, [&] { node.plan(); });
        if (round == 0) {
            continue; // The first round opens the connections and ends the slow start of the servers.
        }
        libraryCosts.push_back(libraryCost);
        engineCosts.push_back(engineCost);
        nodeCosts.push_back(nodeCost);
        planCosts.push_back(planCost);
    }
    std::vector<double> ratiosToLibrary;
    std::vector<double> ratiosToEngine;
    for (unsigned i = 0; i < rounds; ++i) {
        ratiosToLibrary.push_back(nodeCosts[i] / libraryCosts[i]);
        ratiosToEngine.push_back(nodeCosts[i] / engineCosts[i]);
    }
    fmt::print("{:>5} {:>9.2f} {:>9.2f} {:>9.2f} {:>10.0f} {:>9.1f} {:>8.2f} {:>8.2f} {:>7}\n",
               width,
               median(libraryCosts) / width,
               median(engineCosts) / width,
               median(nodeCosts) / width,
               median(nodeCosts),
               median(planCosts),
               median(ratiosToEngine),
               median(ratiosToLibrary),
               node.incomplete());
    std::fflush(stdout);
}

void measureSaturation(unsigned width, unsigned threads, double seconds, unsigned ioThreads)
{
    const shard_server_stub answerer(SERVER_PROCESSES, width, ANSWER_BYTES, 0);
    node_data_path node(answerer.addresses(), ioThreads);
    for (unsigned i = 0; i < 200; ++i) {
        node.query();
    }
    const auto began = std::chrono::steady_clock::now();
    const auto end = began + std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(seconds));
    const double before = cpuSeconds();
    std::atomic<unsigned> queries = 0;
    std::vector<std::thread> callers;
    for (unsigned i = 0; i < threads; ++i) {
        callers.emplace_back([&] {
            while (std::chrono::steady_clock::now() < end) {
                node.query();
                ++queries;
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    const double used = cpuSeconds() - before;
    const double elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    fmt::print("saturation: width {}, {} callers: {:.0f} queries/s on {:.2f} cores, {:.0f} queries/s a core, {:.2f} us a sub-request, {} incomplete\n",
               width,
               threads,
               queries / elapsed,
               used / elapsed,
               queries / used,
               used / queries / width * 1e6,
               node.incomplete());
}

void measureMemory(unsigned ioThreads)
{
    const shard_server_stub answerer(SERVER_PROCESSES, MEMORY_WIDTH, ANSWER_BYTES, ANSWER_DELAY_MS);
    node_data_path node(answerer.addresses(), ioThreads);
    // Slow start limits the concurrency at new servers and would delay the queries.
    node.completeSlowStart();
    const double before = residentBytes();
    std::vector<std::thread> callers;
    for (unsigned i = 0; i < MEMORY_QUERIES; ++i) {
        callers.emplace_back([&] { node.query(); });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(ANSWER_DELAY_MS * 2 / 3));
    const double during = residentBytes();
    const std::size_t connections = node.openConnections();
    for (std::thread &caller : callers) {
        caller.join();
    }
    fmt::print("memory: {} queries in flight at width {}: {:.0f} KB a query, {:.1f} KB a connection, {} connections, {} incomplete\n",
               MEMORY_QUERIES,
               MEMORY_WIDTH,
               (during - before) / MEMORY_QUERIES / 1e3,
               (during - before) / static_cast<double>(std::max<std::size_t>(1, connections)) / 1e3,
               connections,
               node.incomplete());
}

} // namespace

int main(int argc, char **argv)
{
    unsigned rounds = DEFAULT_ROUNDS;
    unsigned ioThreads = DEFAULT_IO_THREADS;
    std::vector<unsigned> widths(std::begin(WIDTHS), std::end(WIDTHS));
    bool widthsOnly = false;
    double saturationSeconds = 3;
    const option flags[] = {{"rounds", required_argument, nullptr, 'r'},
                            {"io-threads", required_argument, nullptr, 'i'},
                            {"width", required_argument, nullptr, 'w'},
                            {"saturation-s", required_argument, nullptr, 's'},
                            {"widths-only", no_argument, nullptr, 'o'},
                            {nullptr, 0, nullptr, 0}};
    for (int flag = 0; (flag = ::getopt_long(argc, argv, "", flags, nullptr)) != -1;) {
        switch (flag) {
        case 'r':
            rounds = std::max(1U, static_cast<unsigned>(std::strtoul(optarg, nullptr, 10)));
            break;
        case 'i':
            ioThreads = std::max(1U, static_cast<unsigned>(std::strtoul(optarg, nullptr, 10)));
            break;
        case 'w':
            widths = {std::max(1U, static_cast<unsigned>(std::strtoul(optarg, nullptr, 10)))};
            break;
        case 's':
            saturationSeconds = std::strtod(optarg, nullptr);
            break;
        case 'o':
            widthsOnly = true;
            break;
        default:
            fmt::print(stderr, "usage: bench_data_path [--rounds N] [--io-threads N] [--width N] [--saturation-s S] [--widths-only]\n");
            return 2;
        }
    }
    fmt::print("processor time in us; medians of {} paired rounds, {} I/O threads\n", rounds, ioThreads);
    fmt::print("{:>5} {:>9} {:>9} {:>9} {:>10} {:>9} {:>8} {:>8} {:>7}\n",
               "width",
               "lib/sub",
               "eng/sub",
               "node/sub",
               "node/query",
               "plan",
               "n/engine",
               "n/lib",
               "incompl");
    for (const unsigned width : widths) {
        measureWidth(width, rounds, ioThreads);
    }
    if (widthsOnly) {
        return 0;
    }
    for (const unsigned width : {50U, 350U}) {
        for (const unsigned threads : {1U, 4U, 8U}) {
            measureSaturation(width, threads, saturationSeconds, ioThreads);
        }
    }
    measureMemory(ioThreads);
    return 0;
}
