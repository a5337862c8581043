#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/tier/running_site.h"

using namespace snipefall;

namespace {

struct foreign_entry_case
{
    const char *kind;
    const char *name; ///< An object that no part of the system wrote.
    const char *fields[4]; ///< Names of the fields that the system reads; null at the end.
};

std::ostream &operator<<(std::ostream &out, const foreign_entry_case &row)
{
    return out << row.kind;
}

const foreign_entry_case FOREIGN_ENTRIES[] = {
    {"config", "other", {"version", "routes", "services", "limits"}},
    {"servers", "foreign", {"service", "address", "state", "born"}},
    {"evacuations", "nowhere", {"zone", nullptr, nullptr, nullptr}},
    {"rollouts", "foreign", {"service", "target_version", "finish_by_s", nullptr}},
    {"snipefall-nodes", "foreign", {"peer_address", "caller_address", "domain", "started_ms"}},
    {"snipefall-crash-trials", "foreign", {"trials", "last_ms", nullptr, nullptr}},
};

/** No object at all, then objects whose fields are missing or of each type. */
std::vector<json> oddSpecs(const foreign_entry_case &row)
{
    std::vector<json> specs{nullptr, 7, "text", json::array({1}), json::object()};
    for (const json &value : {json(nullptr), json(-1), json(1.5), json(""), json("other"), json::array({json::object()}), json::object(), json(true)}) {
        json spec = json::object();
        for (const char *field : row.fields) {
            if (field) {
                spec[field] = value;
            }
        }
        specs.push_back(spec);
    }
    return specs;
}

void putForeignEntries(running_site &running, const foreign_entry_case &row)
{
    running.site.onLoop([&] {
        std::size_t count = 0;
        for (const json &spec : oddSpecs(row)) {
            running.site.store().put(row.kind, row.name + std::to_string(count++), spec);
        }
    });
}

/** Whether the node's last report of domains that are taken out names zone-1. */
bool hasTakenOutZone(const std::string &log)
{
    const std::size_t at = log.rfind("event=domains.taken_out");
    return at != std::string::npos && log.substr(at, log.find('\n', at) - at).find("zone-1") != std::string::npos;
}

/** Changes in each kind take effect, and all shards answer. */
void checkOtherEntriesHold(running_site &running)
{
    for (const std::string &node : running.names) {
        const site_caller::request request = running.site.queryRequest();
        BOOST_TEST(running.site.findAnswerProblem(running.site.call(running.site.addresses(node).callers, request), request) == "");
    }
    BOOST_TEST(site_emulator::waitFor([&] { return running.site.directory("node-1").size() == running.names.size(); }));
    running.site.onLoop([&] { running.site.store().put("evacuations", "zone-1", {{"zone", "zone-1"}}); });
    running.site.configure([](json &configuration) { configuration["routes"][0]["path_prefix"] = "/changed/"; });
    running.startMove("shard-0", {});
    for (const std::string &node : running.names) {
        const auto logs = [&](const char *text) { return running.site.logOf(node).find(text) != std::string::npos; };
        BOOST_TEST(site_emulator::waitFor([&] { return running.site.query(node).status == 404; }));
        BOOST_TEST(site_emulator::waitFor([&] { return hasTakenOutZone(running.site.logOf(node)); }));
        BOOST_TEST(site_emulator::waitFor([&] { return logs("target=v2"); }));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(foreign_entry_tests)

// Guards against entries of another writer that end a node, or make it leave out changes of the other entries that come with them.
BOOST_DATA_TEST_CASE(otherEntriesHoldWhenForeignOnesArrive, boost::unit_test::data::make(FOREIGN_ENTRIES), row)
{
    running_site running(2);
    putForeignEntries(running, row);
    checkOtherEntriesHold(running);
}

// Guards against a node that can't start because the store lists entries of another writer.
BOOST_DATA_TEST_CASE(nodesStartBesideForeignEntries, boost::unit_test::data::make(FOREIGN_ENTRIES), row)
{
    running_site running(2);
    putForeignEntries(running, row);
    running.site.startNode("late", "zone-0");
    BOOST_REQUIRE(running.site.waitReady("late"));
    running.names.push_back("late");
    checkOtherEntriesHold(running);
}

BOOST_AUTO_TEST_SUITE_END()
