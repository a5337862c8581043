#include <algorithm>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/entry_node_selection.h"

using namespace snipefall;

namespace {

/** Nodes with the same failure domain and number of cores. */
struct node_group
{
    const char *domain;
    double cores;
    std::size_t count;
};

struct choice_case
{
    const char *name;
    std::vector<node_group> nodes;
    std::map<failure_domain_id, std::size_t> servers;
    std::size_t expectedCount;
};

std::ostream &operator<<(std::ostream &out, const choice_case &row)
{
    return out << row.name;
}

const failure_domain_id A("a");
const failure_domain_id B("b");
const failure_domain_id C("c");

const choice_case CHOICE_CASES[] = {
    {"equal nodes, servers everywhere", {{"a", 0.25, 2}, {"b", 0.25, 2}, {"c", 0.25, 3}}, {{A, 10}, {B, 10}, {C, 10}}, 7},
    {"equal nodes, servers in two domains", {{"a", 0.25, 2}, {"b", 0.25, 2}, {"c", 0.25, 3}}, {{A, 20}, {B, 20}, {C, 2}}, 4},
    {"too few nodes near the servers", {{"a", 0.25, 2}, {"b", 0.25, 1}, {"c", 0.25, 3}}, {{A, 20}, {B, 20}}, 6},
    {"all nodes near the servers in one domain", {{"a", 0.25, 6}, {"c", 0.25, 3}}, {{A, 20}}, 9},
    {"strong nodes among weak ones", {{"a", 0.5, 2}, {"b", 0.5, 2}, {"a", 0.12, 20}, {"b", 0.12, 20}}, {{A, 10}, {B, 10}}, 4},
    {"strong nodes in one domain only", {{"a", 0.5, 4}, {"b", 0.12, 20}}, {{A, 10}, {B, 10}}, 24},
    {"core counts unknown", {{"a", 0, 3}, {"b", 0, 3}}, {{A, 10}, {B, 10}}, 6},
    {"no known servers", {{"a", 0.25, 2}, {"b", 0.25, 2}}, {}, 4},
    {"a single node", {{"a", 0.25, 1}}, {{B, 10}}, 1},
    {"more nodes than an answer holds", {{"a", 0.25, 60}, {"b", 0.25, 60}}, {{A, 10}, {B, 10}}, MAX_DIRECTORY_ADDRESSES},
    {"no nodes", {}, {{A, 10}}, 0},
};

} // namespace

BOOST_AUTO_TEST_SUITE(entry_node_selection_tests)

// Guards against directing callers to nodes with few cores or far from the servers, and against naming so few nodes that the loss of one node or of a failure
// domain leaves none.
BOOST_DATA_TEST_CASE(prefersNodesWithManyCoresNearServers, boost::unit_test::data::make(CHOICE_CASES), row)
{
    std::vector<entry_node_candidate> candidates;
    for (const node_group &group : row.nodes) {
        for (std::size_t i = 0; i < group.count; ++i) {
            candidates.push_back({"10.0.0.1:" + std::to_string(candidates.size()), failure_domain_id(group.domain), group.cores});
        }
    }
    BOOST_TEST(selectEntryNodes(candidates, row.servers).size() == row.expectedCount);
}

// Guards against an answer whose addresses are all in one failure domain, as happened with 300 nodes: its loss leaves callers without any node.
BOOST_AUTO_TEST_CASE(largeAnswersCoverAllDomainsEvenly)
{
    std::vector<entry_node_candidate> candidates;
    std::map<std::string, std::string> domainOf;
    const std::vector<node_group> groups{{"a", 0.25, 75}, {"b", 0.25, 75}, {"c", 0.25, 10}};
    for (const node_group &group : groups) {
        for (std::size_t i = 0; i < group.count; ++i) {
            candidates.push_back({"10.0.0.1:" + std::to_string(candidates.size()), failure_domain_id(group.domain), group.cores});
            domainOf[candidates.back().callerAddress] = group.domain;
        }
    }
    std::map<std::string, std::size_t> counts;
    for (const std::string &address : selectEntryNodes(candidates, {{A, 10}, {B, 10}, {C, 10}})) {
        ++counts[domainOf[address]];
    }
    BOOST_TEST(counts["a"] == 27U);
    BOOST_TEST(counts["b"] == 27U);
    BOOST_TEST(counts["c"] == 10U);
}

BOOST_AUTO_TEST_SUITE_END()
