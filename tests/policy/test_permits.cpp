#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/policy/permit_simulation.h"

using namespace snipefall;
using std::chrono::seconds;

namespace {

const permit_simulation_options DEPLOYMENTS[] = {
    {"two slots between two nodes", 2, 2, {2, 25}},
    {"two slots, five nodes in four domains", 5, 4, {2, 25}},
    {"one slot, three nodes", 3, 3, {1, 10}},
    {"six slots, seven nodes in three domains", 7, 3, {6, 50}},
};

constexpr std::uint64_t FIRST_SEED = 7001;
constexpr int SEED_COUNT = 150;

/** A permit_holder that the test drives directly; the other node of its ring is named "other". */
struct manual_holder
{
    permit_holder holder{node_id("self"), incarnation(5)};
    permit_inputs inputs{nullptr, {{node_id("self"), incarnation(5), {}, 1.0, {}}}, {2, 20}, {}};
    versioned_permits permits{object_version(3), {3, {{node_id("other"), incarnation(4), {1, 10}}, {node_id("self"), incarnation(5), {1, 10}}}}};

    explicit manual_holder(bool otherLives)
    {
        cluster_view view{{{node_id("self"), incarnation(5)}}, {}};
        if (otherLives) {
            view.live.emplace(node_id("other"), incarnation(4));
            inputs.placed.push_back({node_id("other"), incarnation(4), {}, 1.0, {}});
        }
        inputs.cluster = std::make_shared<const cluster_view>(view);
    }

    /** Ticks until @p end, answering each read at once; returns at the first write with that write. */
    std::optional<write_permits> driveUntil(time_point end)
    {
        for (; now <= end; now += std::chrono::milliseconds(100)) {
            for (const auto &action : holder.tick(now, inputs)) {
                if (const auto *read = std::get_if<read_permits>(&action)) {
                    holder.handleReadAnswer(read->operation, now, permits);
                } else if (const auto *write = std::get_if<write_permits>(&action)) {
                    return *write;
                }
            }
        }
        return std::nullopt;
    }

    bool grantsPromise(incarnation asker, object_version version)
    {
        return holder.answerPromise({node_id("other"), asker, {version, permits.record}}, now).granted;
    }

    time_point now{seconds(100)};
};

const char *const MALFORMED_RECORDS[] = {
    "",
    "[]",
    R"({"epoch":1,"ring":[]})",
    R"({"epoch":0,"ring":[{"node":"a","incarnation":1,"slots":1,"connections":1}]})",
    R"({"epoch":1,"ring":[{"node":"a","incarnation":1,"slots":-1,"connections":1}]})",
    R"({"epoch":1,"ring":[{"node":"a","incarnation":1,"slots":1,"connections":1},{"node":"a","incarnation":2,"slots":1,"connections":1}]})",
};

} // namespace

BOOST_AUTO_TEST_SUITE(permit_tests)

// Guards against the nodes together exceeding the limit of a backend server at any time, and against shares that nobody can use after the faults have ended.
// Two random faults start every 6 s: platform outages, slow platform, lost platform answers, lost messages, network partitions, process pauses, restarts,
// killed nodes, replaced nodes and false suspicions.
BOOST_DATA_TEST_CASE(limitHoldsUnderFaults, DEPLOYMENTS)
{
    duration slowest{};
    std::uint64_t recordWrites = 0;
    for (std::uint64_t seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; ++seed) {
        permit_simulation simulation(sample, seed);
        for (int round = 0; round < 20; ++round) {
            simulation.injectFault();
            simulation.injectFault();
            simulation.run(seconds(6));
        }
        simulation.endFaults();
        duration recovery{};
        while (simulation.usableNow() != sample.limit && recovery < seconds(30)) {
            simulation.run(std::chrono::milliseconds(100));
            recovery += std::chrono::milliseconds(100);
        }
        slowest = std::max(slowest, recovery);
        recordWrites += simulation.changes();
        BOOST_TEST_INFO("seed " << seed << ", used " << simulation.highest().slots << " slots, " << simulation.highest().connections << " connections");
        BOOST_REQUIRE(sample.limit.covers(simulation.highest()));
        BOOST_TEST_INFO("seed " << seed << ", usable " << simulation.usableNow().slots << " slots, " << simulation.usableNow().connections << " connections");
        BOOST_REQUIRE(simulation.usableNow() == sample.limit);
    }
    BOOST_TEST_MESSAGE(sample << ": " << recordWrites << " changes of the record in " << SEED_COUNT << " runs, slowest recovery after the faults "
                              << std::chrono::duration_cast<std::chrono::milliseconds>(slowest).count() << " ms");
}

// Guards against leases that expire while the platform is unavailable although all holders are alive, and against needless changes of the record.
BOOST_DATA_TEST_CASE(promisesRenewLeasesDuringPlatformOutage, DEPLOYMENTS)
{
    permit_simulation simulation(sample, FIRST_SEED);
    simulation.run(seconds(10));
    BOOST_REQUIRE(simulation.usableNow() == sample.limit);
    simulation.setPlatformDown(true);
    for (int second = 0; second < 120; ++second) {
        simulation.run(seconds(1));
        BOOST_REQUIRE(simulation.usableNow() == sample.limit);
    }
    BOOST_TEST(simulation.changes() == 1U);
}

// Guards against a promise that the successor may break by using the share: to an earlier incarnation, for another version of the record, after the takeover
// was sent, or by a successor whose own lease has ended.
BOOST_AUTO_TEST_CASE(promisesAreRefused)
{
    manual_holder successor(true);
    BOOST_TEST(!successor.grantsPromise(incarnation(4), object_version(3)));
    BOOST_TEST(!successor.driveUntil(successor.now + seconds(7)).has_value());
    BOOST_TEST(successor.grantsPromise(incarnation(4), object_version(3)));
    BOOST_TEST(!successor.grantsPromise(incarnation(3), object_version(3)));
    BOOST_TEST(!successor.grantsPromise(incarnation(4), object_version(2)));
    successor.now = successor.holder.usableUntil();
    BOOST_TEST(!successor.grantsPromise(incarnation(4), object_version(3)));

    manual_holder takingOver(false);
    BOOST_REQUIRE(takingOver.driveUntil(takingOver.now + seconds(7)).has_value());
    BOOST_TEST(!takingOver.grantsPromise(incarnation(4), object_version(3)));
}

// Guards against renewal by a promise of the old successor while the insertion of a new successor, whose answer was lost, may already have taken effect.
BOOST_AUTO_TEST_CASE(unresolvedInsertionStopsPromiseRequests)
{
    manual_holder holder(true);
    holder.permits.record = permit_record(3, {{node_id("self"), incarnation(5), {1, 10}}, {node_id("other"), incarnation(4), {1, 10}}});
    holder.inputs.placed.push_back({node_id("new"), incarnation(1), {}, 1.0, {}});
    const auto write = holder.driveUntil(holder.now + seconds(2));
    BOOST_REQUIRE(write && write->permits.record.find(node_id("new")));
    holder.holder.handleWriteAnswer(write->operation, holder.now, failure{error_code::unknown_result, "answer lost"});
    for (int tick = 0; tick < 30; ++tick, holder.now += std::chrono::milliseconds(100)) {
        for (const auto &action : holder.holder.tick(holder.now, holder.inputs)) {
            BOOST_TEST(!std::holds_alternative<ask_promise>(action));
        }
    }
}

// Guards against use of a share even one microsecond after its lease has ended, and against use of a taken-over share before LEASE_TIME and LEASE_MARGIN
// have passed.
BOOST_AUTO_TEST_CASE(leaseAndTakeoverTimesAreExact)
{
    manual_holder successor(false);
    const auto write = successor.driveUntil(successor.now + seconds(7));
    BOOST_REQUIRE(write.has_value());
    BOOST_TEST((successor.now >= time_point(seconds(100)) + LEASE_TIME + LEASE_MARGIN));
    const auto sent = successor.now;
    const auto confirmed = sent + std::chrono::milliseconds(300);
    successor.holder.handleWriteAnswer(write->operation, confirmed, object_version(4));
    BOOST_TEST(successor.holder.usable(sent + LEASE_TIME - duration(1)).slots == 1U);
    BOOST_TEST(successor.holder.usable(sent + LEASE_TIME).slots == 0U);
    successor.permits = {object_version(4), write->permits.record};
    successor.driveUntil(confirmed + LEASE_TIME + LEASE_MARGIN - duration(1));
    const auto usableFrom = confirmed + LEASE_TIME + LEASE_MARGIN;
    BOOST_TEST(successor.holder.usable(usableFrom - duration(1)).slots == 1U);
    BOOST_TEST(successor.holder.usable(usableFrom).slots == 2U);
}

// Guards against malformed records that are accepted and misread.
BOOST_DATA_TEST_CASE(malformedRecordsAreRefused, MALFORMED_RECORDS)
{
    BOOST_TEST(!permit_record::fromJson(sample));
}

BOOST_AUTO_TEST_SUITE_END()
