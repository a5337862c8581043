#include <ostream>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/snapshot_planner.h"

using namespace snipefall;

namespace {

struct restart_case
{
    const char *name;
    std::set<std::string> held; ///< Snapshots of which the only server holds all shards.
    const char *pinned;
    const char *expected; ///< Empty if no snapshot can be planned.
};

std::ostream &operator<<(std::ostream &out, const restart_case &row)
{
    return out << row.name;
}

const restart_case RESTART_CASES[] = {
    {"newer snapshot", {"s1", "s2"}, "s1", "s2"},
    {"newest of several", {"s1", "s2", "s3"}, "s1", "s3"},
    {"newer snapshot is gone again", {"s1"}, "s1", "s1"},
    {"only an older snapshot is left", {"s0"}, "s1", "s0"},
    {"no snapshot is left", {}, "s1", ""},
};

} // namespace

BOOST_AUTO_TEST_SUITE(snapshot_planner_tests)

// Guards against a restart that is planned without shards, and so answers as complete with no items, because the newer snapshot is gone again.
BOOST_DATA_TEST_CASE(plansRestarts, RESTART_CASES)
{
    backend_server server;
    server.id = backend_server_id("a");
    server.version = version_id("v1");
    for (const std::string &id : sample.held) {
        server.snapshots[snapshot_id(id)] = {{10, 20}, {shard_index(0), shard_index(1)}};
    }
    planning_limits limits;
    limits.version = server.version;
    limits.newerThan = snapshot_id(sample.pinned);
    const planned_query planned = planRestart({server}, limits);
    BOOST_REQUIRE(planned.empty() == std::string(sample.expected).empty());
    BOOST_TEST((planned.empty() || planned.plan->snapshot == snapshot_id(sample.expected)));
}

BOOST_AUTO_TEST_SUITE_END()
