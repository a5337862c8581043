#include <array>
#include <barrier>
#include <map>
#include <memory>
#include <numeric>
#include <set>
#include <thread>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/configuration_replica.h"
#include "store/configuration_log.h"
#include "tests/store/faulty_object_store.h"

using namespace snipefall;

namespace {

using kind = commit_result::kind;

configuration_patch patchOf(const std::string &id, std::uint64_t base, json merge = {{"entry_ttl_ms", 5000}})
{
    return {patch_id(id), config_version(base), "author-" + id, "test", std::move(merge), 1};
}

struct commit_case
{
    const char *name;
    configuration_patch patch;
    int answersLost;
    bool down;
    kind expected;
    std::uint64_t version; ///< Expected commit_result::version.
};

std::ostream &operator<<(std::ostream &out, const commit_case &row)
{
    return out << row.name;
}

constexpr std::size_t OPERATORS = 4;
constexpr std::size_t ROUNDS = 60;

/** Each patch is committed to a log that already holds the patches p1 to p3. */
const commit_case COMMITS[] = {
    {"next version", patchOf("p4", 3), 0, false, kind::applied, 4},
    {"answer lost", patchOf("p4", 3), 1, false, kind::applied, 4},
    {"platform down", patchOf("p4", 3), 0, true, kind::unavailable, 0},
    {"taken version", patchOf("p4", 1), 0, false, kind::refused, 2},
    {"version that does not exist", patchOf("p4", 9), 0, false, kind::refused, 3},
    {"repeat", patchOf("p2", 1), 0, false, kind::applied, 2},
    {"repeat on another base", patchOf("p2", 3), 0, false, kind::applied, 2},
    {"id of another patch", patchOf("p2", 3, {{"entry_ttl_ms", 6000}}), 0, false, kind::invalid, 0},
    {"invalid document", patchOf("p4", 3, {{"entry_ttl_ms", 1}}), 0, false, kind::invalid, 0},
    {"invalid patch", patchOf("", 3), 0, false, kind::invalid, 0},
};

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_log_tests)

// Guards against results that contradict the stored log, with a filled and with an empty cache.
BOOST_DATA_TEST_CASE(commitResults, COMMITS *boost::unit_test::data::make({true, false}), row, cached)
{
    memory_object_store store;
    configuration_log writer(store);
    for (int n = 1; n <= 3; ++n) {
        BOOST_REQUIRE((writer.commit(patchOf("p" + std::to_string(n), n - 1)).status == kind::applied));
    }
    configuration_log fresh(store);
    configuration_log<memory_object_store> &log = cached ? writer : fresh;
    store.loseWriteResponses(row.answersLost);
    store.setDown(row.down);
    const commit_result result = log.commit(row.patch);
    store.setDown(false);
    BOOST_TEST((result.status == row.expected), result.message);
    BOOST_TEST(result.version.value() == row.version);
    BOOST_TEST(result.winner.has_value() == (row.expected == kind::refused && row.version == 2));
    BOOST_TEST(result.invalidFields.empty() == (row.expected != kind::invalid));
    BOOST_TEST(log.load()->version.value() == (result.version.value() == 4 ? 4u : 3u));
}

// Guards against a start-up that reads the whole history, and against log entries that are lost when a snapshot is written.
BOOST_AUTO_TEST_CASE(loadReadsSnapshotAndRecentEntries)
{
    memory_object_store store;
    configuration_log writer(store);
    for (std::uint64_t n = 0; n < 330; ++n) {
        BOOST_REQUIRE((writer.commit(patchOf("p" + std::to_string(n), n, {{"entry_ttl_ms", 1000 + n}})).status == kind::applied));
    }
    configuration_log reader(store);
    const std::uint64_t before = store.calls();
    BOOST_TEST(reader.load()->document["entry_ttl_ms"] == 1329);
    BOOST_TEST(store.calls() - before <= 4u);
    BOOST_TEST(reader.readAfter(config_version(0))->size() == 330u);
    // A new configuration_log recognises a repeated patch that is older than the snapshot.
    BOOST_TEST(reader.commit(patchOf("p100", 330, {{"entry_ttl_ms", 1100}})).version.value() == 101u);
}

// Guards against a node with a stale cache that refuses a repeated patch although the patch was already applied on another base version.
BOOST_AUTO_TEST_CASE(staleCacheRecognisesRepeatedPatch)
{
    memory_object_store store;
    configuration_log stale(store);
    configuration_log newer(store);
    BOOST_REQUIRE((stale.commit(patchOf("p1", 0)).status == kind::applied));
    BOOST_REQUIRE((newer.commit(patchOf("p2", 1)).status == kind::applied));
    BOOST_REQUIRE((newer.commit(patchOf("p3", 2)).status == kind::applied));
    const commit_result result = stale.commit(patchOf("p3", 1));
    BOOST_TEST((result.status == kind::applied && result.version == config_version(3)), result.message);
}

// Guards against concurrent commits that are both reported as applied for the same version.
BOOST_AUTO_TEST_CASE(concurrentCommitsHaveOneWinner)
{
    memory_object_store store;
    std::barrier round(OPERATORS);
    std::vector<std::uint64_t> wins(ROUNDS * OPERATORS);
    std::vector<std::thread> threads;
    threads.reserve(OPERATORS);
    for (std::size_t n = 0; n < OPERATORS; ++n) {
        threads.emplace_back([&, n] {
            configuration_log log(store);
            for (std::uint64_t base = 0; base < ROUNDS; ++base) {
                round.arrive_and_wait();
                const auto result = log.commit(patchOf(std::to_string(n) + "-" + std::to_string(base), base));
                wins[base * OPERATORS + n] = result.status == kind::applied ? 1 : result.status == kind::refused ? 0 : 100;
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    for (std::uint64_t base = 0; base < ROUNDS; ++base) {
        BOOST_TEST(std::accumulate(wins.begin() + base * OPERATORS, wins.begin() + (base + 1) * OPERATORS, std::uint64_t{0}) == 1u);
    }
}

namespace {

/** Three logs and four replicas on a faulty platform, and an oracle that reads the platform's objects without faults. */
struct configuration_simulation
{
    explicit configuration_simulation(std::uint64_t seed)
        : random(seed)
    {
        faulty.setFaultPercent(10);
    }

    std::uint64_t randomBelow(std::uint64_t count) { return random() % count; }

    /** Reads the stored log and checks that its versions are contiguous and its patch ids unique. */
    std::vector<configuration_patch> readStoredLog()
    {
        auto patches = *oracle.readAfter(config_version(0));
        BOOST_REQUIRE(store.list(call_purpose::configuration, CONFIGURATION_LOG_PREFIX)->size() == patches.size());
        std::set<patch_id> ids;
        for (const auto &patch : patches) {
            BOOST_REQUIRE(ids.insert(patch.id).second);
        }
        return patches;
    }

    void commit()
    {
        const bool repeat = !submitted.empty() && randomBelow(3) == 0;
        const std::uint64_t base = readStoredLog().size() + randomBelow(4) / 3 - std::min<std::uint64_t>(readStoredLog().size(), randomBelow(4) / 3);
        configuration_patch patch = patchOf("p" + std::to_string(submitted.size()), base, {{"entry_ttl_ms", 60 * randomBelow(20)}});
        if (repeat) {
            patch = submitted[randomBelow(submitted.size())];
            patch.baseVersion = randomBelow(2) == 0 ? config_version(base) : patch.baseVersion;
        } else {
            submitted.push_back(patch);
        }
        const commit_result result = logs[randomBelow(logs.size())].commit(patch);
        const auto patches = readStoredLog();
        const auto found = std::find_if(patches.begin(), patches.end(), [&](const auto &entry) { return entry.id == patch.id; });
        if (result.status == kind::unknown) {
            idsWithUnknownResult.insert(patch.id);
        } else if (result.status == kind::applied) {
            BOOST_REQUIRE((found != patches.end() && found->version() == result.version));
        } else if (result.status == kind::unavailable) {
            BOOST_REQUIRE((found == patches.end() || repeat));
        } else {
            BOOST_REQUIRE((found == patches.end()));
        }
        if (result.winner) {
            BOOST_REQUIRE((*result.winner == patches.at(result.winner->baseVersion.value())));
        }
        ++results[result.status];
    }

    void checkReplica(const configuration_replica &replica, config_version before)
    {
        const auto patches = readStoredLog();
        configuration_snapshot expected;
        while (expected.version < replica.position().version) {
            BOOST_REQUIRE(expected.apply(patches.at(expected.version.value())));
        }
        BOOST_REQUIRE((replica.snapshot() == expected && replica.position().version >= before));
        BOOST_REQUIRE((replica.current()->version == expected.version));
        BOOST_REQUIRE((replica.current()->entryTtlMs == expected.document.value("entry_ttl_ms", 5000u)));
    }

    void updateRandomReplica()
    {
        auto &replica = replicas[randomBelow(replicas.size())];
        if (randomBelow(25) == 0) {
            replica = std::make_unique<configuration_replica>();
        }
        const config_version before = replica->position().version;
        configuration_offer_result offer;
        if (randomBelow(3) == 0) {
            auto patches = readStoredLog();
            patches.erase(patches.begin(),
                          patches.begin() + static_cast<std::ptrdiff_t>(patches.size() - std::min<std::size_t>(patches.size(), randomBelow(12))));
            for (std::size_t repeats = patches.empty() ? 0 : randomBelow(patches.size()); repeats > 0; --repeats) {
                patches.push_back(configuration_patch(patches[randomBelow(patches.size())]));
            }
            std::shuffle(patches.begin(), patches.end(), random);
            patches.resize(patches.size() - std::min<std::size_t>(patches.size(), randomBelow(3)));
            offer = replica->offer(patches);
            std::uint64_t expected = before.value();
            while (std::any_of(patches.begin(), patches.end(), [&](const auto &patch) { return patch.baseVersion.value() == expected; })) {
                ++expected;
            }
            BOOST_REQUIRE(offer.version.value() == expected);
        } else if (randomBelow(2) == 0) {
            offer = replica->offerDelta(replicas[randomBelow(replicas.size())]->patchesAfter(config_version(randomBelow(before.value() + 2))));
        } else {
            oldSnapshots.push_back(replica->snapshot());
            offer = replica->offerSnapshot(oldSnapshots[randomBelow(oldSnapshots.size())]);
        }
        BOOST_REQUIRE(!offer.diverged);
        checkReplica(*replica, before);
    }

    void converge()
    {
        faulty.setFaultPercent(0);
        for (int turn = 0; turn < 2; ++turn) {
            for (auto &replica : replicas) {
                const auto missing = logs[0].readAfter(replica->position().version);
                BOOST_REQUIRE(missing.hasValue());
                replica->offer(*missing);
                checkReplica(*replica, replica->position().version);
                BOOST_REQUIRE((replica->position() == replicas[0]->position()));
            }
        }
        BOOST_REQUIRE((replicas[0]->snapshot() == *logs[1].load()));
    }

    std::mt19937_64 random;
    memory_object_store store;
    faulty_object_store faulty{store, random};
    configuration_log<memory_object_store> oracle{store};
    std::array<configuration_log<faulty_object_store>, 3> logs{configuration_log(faulty), configuration_log(faulty), configuration_log(faulty)};
    std::array<std::unique_ptr<configuration_replica>, 4> replicas{std::make_unique<configuration_replica>(),
                                                                   std::make_unique<configuration_replica>(),
                                                                   std::make_unique<configuration_replica>(),
                                                                   std::make_unique<configuration_replica>()};
    std::vector<configuration_patch> submitted;
    std::vector<configuration_snapshot> oldSnapshots;
    std::set<patch_id> idsWithUnknownResult;
    std::map<kind, int> results;
};

} // namespace

// Guards against results that contradict the stored log, patches applied twice, replicas that go back to an older version and replicas that do not
// converge, under lost responses, late writes and outages combined with wiped and stale replicas and reordered deltas.
BOOST_AUTO_TEST_CASE(logAndReplicasMatchOracleUnderFaults)
{
    std::map<kind, int> results;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        configuration_simulation simulation(seed);
        for (int step = 0; step < 300; ++step) {
            simulation.randomBelow(2) == 0 ? simulation.commit() : simulation.updateRandomReplica();
        }
        simulation.converge();
        for (const auto &[status, count] : simulation.results) {
            results[status] += count;
        }
    }
    for (const kind status : {kind::applied, kind::refused, kind::invalid, kind::unavailable, kind::unknown}) {
        BOOST_TEST_MESSAGE("results of kind " << static_cast<int>(status) << ": " << results[status]);
        BOOST_TEST(results[status] > 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()
