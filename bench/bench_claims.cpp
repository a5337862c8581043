#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <optional>
#include <random>
#include <thread>
#include <vector>

#include <getopt.h>

#include <fmt/format.h>

#include "core/clock.h"
#include "core/json.h"
#include "store/claim_log.h"
#include "store/memory_object_store.h"

using namespace snipefall;

namespace {

constexpr std::chrono::milliseconds WRITE_TIME(2);
constexpr std::size_t CONCURRENCIES[] = {1, 2, 4, 8, 16, 32, 64};
constexpr std::uint64_t BUCKET_COUNTS[] = {CLAIM_BUCKETS, 1};
constexpr std::size_t DEFAULT_CLAIMS = 2'000;
constexpr double PERCENTILES[] = {0.50, 0.90, 0.99, 1.00};
const service_id SERVICE("order-book");

/** An in-memory store whose writes take WRITE_TIME each; the number of concurrent writes is unlimited. */
class slow_object_store
{
public:
    outcome<object> read(call_purpose purpose, const std::string &key) { return m_store.read(purpose, key); }
    outcome<object_version> write(call_purpose purpose, const std::string &key, std::string value, object_version expected)
    {
        ++m_writes;
        std::this_thread::sleep_for(WRITE_TIME);
        return m_store.write(purpose, key, std::move(value), expected);
    }
    outcome<std::vector<object>> list(call_purpose purpose, const std::string &prefix) { return m_store.list(purpose, prefix); }
    outcome<watch_result> watch(call_purpose purpose, const std::string &prefix, std::uint64_t after, long timeoutMs)
    {
        return m_store.watch(purpose, prefix, after, timeoutMs);
    }
    outcome<std::vector<vm_entry>> listVms() { return m_store.listVms(); }
    std::size_t writes() const { return m_writes; }

private:
    memory_object_store m_store;
    std::atomic<std::size_t> m_writes = 0;
};

struct measurement
{
    std::uint64_t buckets;
    std::size_t concurrency;
    bool grouped;
    double claimsPerSecond;
    double writesPerClaim;
    std::vector<double> latenciesMs; ///< At PERCENTILES.
};

std::vector<request_id> makeIds(std::size_t count, std::uint64_t buckets)
{
    std::mt19937_64 random(1);
    std::vector<request_id> ids;
    while (ids.size() < count) {
        const request_id id(uuid_v7::generate(wallClockMs(), random(), random()).text());
        if (claim_bucket::indexOf(id) < buckets) {
            ids.push_back(id);
        }
    }
    return ids;
}

measurement measure(const std::vector<request_id> &ids, std::uint64_t buckets, std::size_t concurrency, bool grouped)
{
    slow_object_store store;
    claim_log log(store, claim_log_options{{node_id("node-1"), incarnation(1)}, 1, wallClockMs, grouped ? 256U : 1U});
    std::vector<double> latencies(ids.size());
    std::atomic<std::size_t> next = 0;
    std::atomic<std::size_t> failures = 0;
    std::vector<std::thread> threads;
    threads.reserve(concurrency);
    const auto began = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < concurrency; ++n) {
        threads.emplace_back([&] {
            for (std::size_t i = next++; i < ids.size(); i = next++) {
                const auto start = std::chrono::steady_clock::now();
                failures += log.claim(SERVICE, ids[i]).status == claim_result::kind::claimed ? 0 : 1;
                latencies[i] = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    if (failures > 0) {
        fmt::print(stderr, "{} claims failed\n", failures.load());
    }
    std::sort(latencies.begin(), latencies.end());
    const auto count = static_cast<double>(ids.size());
    measurement result{buckets, concurrency, grouped, count / seconds, static_cast<double>(store.writes()) / count, {}};
    for (const double percentile : PERCENTILES) {
        result.latenciesMs.push_back(latencies[std::min(latencies.size() - 1, static_cast<std::size_t>(percentile * count))]);
    }
    return result;
}

void printRow(const measurement &row)
{
    fmt::print("{:>7} {:>11} {:>7} {:>10.0f} {:>12.3f}", row.buckets, row.concurrency, row.grouped ? "yes" : "no", row.claimsPerSecond, row.writesPerClaim);
    for (const double latency : row.latenciesMs) {
        fmt::print(" {:>8.2f}", latency);
    }
    fmt::print("\n");
}

json toJson(const measurement &row)
{
    return {{"buckets", row.buckets},
            {"concurrency", row.concurrency},
            {"group_commit", row.grouped},
            {"claims_per_s", row.claimsPerSecond},
            {"writes_per_claim", row.writesPerClaim},
            {"latency_ms", {{"p50", row.latenciesMs[0]}, {"p90", row.latenciesMs[1]}, {"p99", row.latenciesMs[2]}, {"max", row.latenciesMs[3]}}}};
}

} // namespace

/** Usage: bench_claims [--claims N] [--json FILE] */
int main(int argc, char **argv)
{
    const option options[] = {{"claims", required_argument, nullptr, 'n'}, {"json", required_argument, nullptr, 'j'}, {nullptr, 0, nullptr, 0}};
    std::size_t claims = DEFAULT_CLAIMS;
    std::string file;
    for (int flag = 0; (flag = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        if (flag == 'n') {
            claims = std::max(1UL, std::strtoul(optarg, nullptr, 10));
        } else if (flag == 'j') {
            file = optarg;
        } else {
            return 2;
        }
    }
    json rows = json::array();
    fmt::print("buckets concurrency grouped   claims/s writes/claim   p50 ms   p90 ms   p99 ms   max ms\n");
    for (const std::uint64_t buckets : BUCKET_COUNTS) {
        for (const std::size_t concurrency : CONCURRENCIES) {
            // Without group commit, one bucket takes about 400 claims/s, so the number of claims grows with the concurrency to keep runs short.
            const std::vector<request_id> ids = makeIds(std::min(claims, 200 + concurrency * 30), buckets);
            for (const bool grouped : {false, true}) {
                const measurement row = measure(ids, buckets, concurrency, grouped);
                printRow(row);
                rows.push_back(toJson(row));
            }
        }
    }
    if (!file.empty()) {
        std::ofstream(file) << json{{"write_ms", WRITE_TIME.count()}, {"rows", rows}}.dump(2) << "\n";
    }
    return 0;
}
