#include <algorithm>
#include <thread>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/tier/running_site.h"

using namespace snipefall;
using std::chrono::milliseconds;

namespace {

struct refused_node_case
{
    const char *name;
    unsigned status; ///< Of the store's answers to the node; 0 for a network fault.
    loopback_proxy::fault fault; ///< Of the node's connections to the store.
};

std::ostream &operator<<(std::ostream &out, const refused_node_case &row)
{
    return out << row.name;
}

const refused_node_case REFUSED_NODES[] = {
    {"503", 503, loopback_proxy::fault::none},
    {"429", 429, loopback_proxy::fault::none},
    {"reset", 0, loopback_proxy::fault::reset},
    {"silence", 0, loopback_proxy::fault::silent},
};

bool answersWith(running_site &running, const std::string &node, unsigned status)
{
    return running.site.query(node).status == status;
}

} // namespace

BOOST_AUTO_TEST_SUITE(refused_node_tests)

// Guards against a node that stops serving, or others that lag, because the store rejects this node alone; and against a node that stays behind afterwards.
BOOST_DATA_TEST_CASE(nodeRefusedByStoreServesAndCatchesUp, boost::unit_test::data::make(REFUSED_NODES), row)
{
    site_emulator::options options;
    options.proxies = true;
    running_site running(3, options);
    const auto setFault = [&](unsigned status, loopback_proxy::fault fault) {
        running.site.onLoop([&] {
            running.site.refuseNode("node-0", status);
            running.site.storeProxy("node-0").setFault(fault);
        });
    };
    setFault(row.status, row.fault);
    // A silent store is noticed only when a watch runs out.
    if (row.fault != loopback_proxy::fault::silent) {
        BOOST_REQUIRE(site_emulator::waitFor([&] { return running.site.logOf("node-0").find("event=store.lost") != std::string::npos; }));
    }
    const auto until = std::chrono::steady_clock::now() + milliseconds(3000);
    while (std::chrono::steady_clock::now() < until) {
        for (const std::string &node : running.names) {
            const site_caller::request request = running.site.queryRequest();
            BOOST_TEST(running.site.findAnswerProblem(running.site.call(running.site.addresses(node).callers, request), request) == "");
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    BOOST_TEST(running.site.directory("node-1").size() == 3U);
    running.site.configure([](json &configuration) { configuration["routes"][0]["path_prefix"] = "/changed/"; });
    for (const char *node : {"node-1", "node-2"}) {
        BOOST_TEST(site_emulator::waitFor([&] { return answersWith(running, node, 404); }));
    }
    setFault(0, loopback_proxy::fault::none);
    BOOST_TEST(site_emulator::waitFor([&] { return answersWith(running, "node-0", 404); }));
}

BOOST_AUTO_TEST_SUITE_END()
