#include <algorithm>
#include <map>
#include <random>
#include <set>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/placement.h"

using namespace snipefall;

namespace {

struct cluster_case
{
    const char *name;
    int nodes;
    int domains;
    std::size_t count;
};

std::ostream &operator<<(std::ostream &out, const cluster_case &row)
{
    return out << row.name;
}

const cluster_case CLUSTER_CASES[] = {
    {"seven entry nodes in four domains", 7, 4, 3},
    {"seven entry nodes in three domains", 7, 3, 3},
    {"fewer domains than places", 9, 2, 3},
    {"fewer nodes than places", 2, 2, 3},
    {"470 nodes in eight domains", 470, 8, 3},
    {"one place", 12, 4, 1},
};

std::vector<placement_member> makeMembers(int nodes, int domains)
{
    std::vector<placement_member> members;
    for (int i = 0; i < nodes; ++i) {
        const auto name = std::to_string(i);
        members.push_back({node_id("node-" + name), incarnation(1), failure_domain_id(std::to_string(i % domains)), 1.0, "10.0.0.1:" + name});
    }
    return members;
}

std::set<node_id> idsOf(const std::vector<placement_member> &members)
{
    std::set<node_id> ids;
    for (const auto &member : members) {
        ids.insert(member.id);
    }
    return ids;
}

std::vector<node_id> difference(const std::set<node_id> &a, const std::set<node_id> &b)
{
    std::vector<node_id> result;
    std::set_difference(a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(result));
    return result;
}

service_id serviceOf(int i)
{
    return service_id("kiln-log-" + std::to_string(i));
}

} // namespace

BOOST_AUTO_TEST_SUITE(placement_tests)

// Guards against a failure domain that takes two shares of a service, and against places left empty.
BOOST_DATA_TEST_CASE(domainsAreSeparate, CLUSTER_CASES)
{
    const auto members = makeMembers(sample.nodes, sample.domains);
    for (int i = 0; i < 200; ++i) {
        const auto placed = placeService(serviceOf(i), members, sample.count);
        std::set<failure_domain_id> domains;
        for (const auto &member : placed) {
            domains.insert(member.domain);
        }
        BOOST_REQUIRE_EQUAL(placed.size(), std::min<std::size_t>(sample.count, members.size()));
        BOOST_REQUIRE_EQUAL(idsOf(placed).size(), placed.size());
        BOOST_REQUIRE_EQUAL(domains.size(), std::min<std::size_t>(placed.size(), sample.domains));
    }
}

// Guards against services that move although their own nodes did not change: a join or leave replaces at most one place, and a node that joined is
// the only one that may enter. Members are shuffled, and a leave and a change of order happen together.
BOOST_DATA_TEST_CASE(movementIsMinimal, CLUSTER_CASES)
{
    std::mt19937_64 random(20240611);
    for (int round = 0; round < 200; ++round) {
        auto members = makeMembers(sample.nodes, sample.domains);
        const auto service = serviceOf(round);
        const auto before = idsOf(placeService(service, members, sample.count));
        const auto left = members[random() % members.size()].id;
        std::erase_if(members, [&left](const placement_member &member) { return member.id == left; });
        std::shuffle(members.begin(), members.end(), random);
        const auto after = idsOf(placeService(service, members, sample.count));
        const auto removed = difference(before, after);
        const auto entered = difference(after, before);
        BOOST_REQUIRE_LE(entered.size(), 1U);
        BOOST_REQUIRE_EQUAL(removed.size(), before.contains(left) ? 1U : 0U);
        BOOST_REQUIRE(removed.empty() || removed.front() == left);
    }
}

// Guards against nodes that hold far more or fewer services than their weight asks for.
BOOST_AUTO_TEST_CASE(spreadFollowsWeights)
{
    auto members = makeMembers(12, 4);
    members[5].weight = 2.0;
    members[6].weight = 0.0;
    std::map<node_id, int> first;
    constexpr int SERVICES = 12000;
    for (int i = 0; i < SERVICES; ++i) {
        ++first[placeService(serviceOf(i), members, 3).front().id];
    }
    BOOST_TEST(!first.contains(members[6].id));
    for (const auto &member : members) {
        const double expected = SERVICES * member.weight / 12.0; // The sum of the weights is 12.
        BOOST_TEST(std::abs(first[member.id] - expected) <= 0.12 * expected);
    }
}

// Guards against entries that name nodes without a share: a service with one slot has one entry.
BOOST_AUTO_TEST_CASE(entriesNameTheHolders)
{
    const auto members = makeMembers(7, 4);
    for (std::uint32_t slots = 0; slots < 6; ++slots) {
        const auto entries = entriesFor(serviceOf(1), members, slots);
        const auto placed = placeService(serviceOf(1), members, std::min(slots, 3U));
        BOOST_REQUIRE_EQUAL(entries.size(), placed.size());
        for (std::size_t i = 0; i < entries.size(); ++i) {
            BOOST_TEST(entries[i] == placed[i].callerAddress);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
