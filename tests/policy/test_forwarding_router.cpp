#include <map>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/forwarding_router.h"

using namespace snipefall;

namespace {

struct forwarding_case
{
    const char *name;
    std::uint32_t usableSlots;
    bool forwarded;
    bool recordKnown;
    std::set<node_id> avoided;
    forwarding_action kind;
    const char *target; ///< Empty for none.
};

std::ostream &operator<<(std::ostream &out, const forwarding_case &row)
{
    return out << row.name;
}

const forwarding_case FORWARDING_CASES[] = {
    {"own permits", 1, false, true, {}, forwarding_action::serve, ""},
    {"own permits, forwarded", 1, true, true, {}, forwarding_action::serve, ""},
    {"no permits, forwarded", 0, true, true, {}, forwarding_action::refuse, ""},
    {"unresponsive holder", 0, false, true, {node_id("a")}, forwarding_action::forward, "b"},
    {"all holders unresponsive", 0, false, true, {node_id("a"), node_id("b")}, forwarding_action::forward, "d"},
    {"unknown holders", 0, false, false, {}, forwarding_action::forward, "d"},
    {"no node left", 0, false, true, {node_id("a"), node_id("b"), node_id("d")}, forwarding_action::refuse, ""},
};

placement_member member(const char *name)
{
    return {node_id(name), incarnation(1), failure_domain_id(name), 1.0, name};
}

const std::vector<placement_member> PLACED{member("d"), member("self")};
const std::vector<placement_member> LIVE{member("a"), member("b"), member("c"), member("d"), member("self")};

forwarding_input inputOf(const forwarding_case &row, const permit_record &record)
{
    return {node_id("self"), request_id("r-1"), row.forwarded, {row.usableSlots, 5}, row.recordKnown ? &record : nullptr, PLACED, LIVE, row.avoided};
}

// "c" is a standby without slots, "dead" is not live, and this node's own share is not usable.
const permit_record RECORD(4,
                           {{node_id("a"), incarnation(1), {1, 5}},
                            {node_id("b"), incarnation(1), {3, 15}},
                            {node_id("c"), incarnation(1), {}},
                            {node_id("dead"), incarnation(1), {9, 9}},
                            {node_id("self"), incarnation(1), {1, 5}}});

} // namespace

BOOST_AUTO_TEST_SUITE(forwarding_router_tests)

// Guards against forwarding a query twice, forwarding to nodes without permits, and refusing a query while a permit holder is reachable.
BOOST_DATA_TEST_CASE(decisionFollowsPermits, FORWARDING_CASES)
{
    const auto decision = decideForwarding(inputOf(sample, RECORD));
    BOOST_TEST((decision.kind == sample.kind));
    BOOST_TEST((decision.target ? decision.target->id.str() : std::string()) == sample.target);
}

// Guards against sending all forwarded queries to one permit holder: they must be distributed in proportion to the slots, 1 to 3.
BOOST_AUTO_TEST_CASE(forwardedQueriesFollowSlots)
{
    auto input = inputOf({"", 0, false, true, {}, forwarding_action::forward, ""}, RECORD);
    std::map<std::string, int> counts;
    for (int i = 0; i < 4000; ++i) {
        input.request = request_id(std::to_string(i));
        ++counts[decideForwarding(input).target->id.str()];
    }
    BOOST_TEST(counts["a"] + counts["b"] == 4000);
    BOOST_TEST(std::abs(counts["a"] - 1000) < 150);
}

BOOST_AUTO_TEST_SUITE_END()
