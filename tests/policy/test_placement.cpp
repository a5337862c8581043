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
    {"fewer domains than requested members", 9, 2, 3},
    {"fewer nodes than requested members", 2, 2, 3},
    {"470 nodes in eight domains", 470, 8, 3},
    {"one requested member", 12, 4, 1},
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

// Guards against placing two shares of a service in one failure domain, and against returning fewer members than possible.
BOOST_DATA_TEST_CASE(membersAreInSeparateDomains, CLUSTER_CASES)
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

// Guards against needless moves of services: a leave, or in reverse a join, changes at most one of the returned members, and only the node that left is removed
// or the node that joined is added. The order of the members changes at the same time and must not matter.
BOOST_DATA_TEST_CASE(membershipChangeMovesAtMostOneMember, CLUSTER_CASES)
{
    std::mt19937_64 random(20240611);
    for (int round = 0; round < 200; ++round) {
        auto members = makeMembers(sample.nodes, sample.domains);
        const auto service = serviceOf(round);
        const auto before = idsOf(placeService(service, members, sample.count));
        const auto leaving = members[random() % members.size()].id;
        std::erase_if(members, [&leaving](const placement_member &member) { return member.id == leaving; });
        std::shuffle(members.begin(), members.end(), random);
        const auto after = idsOf(placeService(service, members, sample.count));
        const auto removed = difference(before, after);
        const auto added = difference(after, before);
        BOOST_REQUIRE_LE(added.size(), 1U);
        BOOST_REQUIRE_EQUAL(removed.size(), before.contains(leaving) ? 1U : 0U);
        BOOST_REQUIRE(removed.empty() || removed.front() == leaving);
    }
}

// Guards against nodes that get far more or fewer services than is proportional to their weight.
BOOST_AUTO_TEST_CASE(servicesFollowWeights)
{
    auto members = makeMembers(12, 4);
    members[5].weight = 2.0;
    members[6].weight = 0.0;
    std::map<node_id, int> firstChoices;
    constexpr int SERVICES = 12000;
    for (int i = 0; i < SERVICES; ++i) {
        ++firstChoices[placeService(serviceOf(i), members, 3).front().id];
    }
    BOOST_TEST(!firstChoices.contains(members[6].id));
    for (const auto &member : members) {
        const double expected = SERVICES * member.weight / 12.0; // The sum of the weights is 12.
        BOOST_TEST(std::abs(firstChoices[member.id] - expected) <= 0.12 * expected);
    }
}

// Guards against naming nodes that hold no share as entry nodes: a service with one slot has only one.
BOOST_AUTO_TEST_CASE(entryAddressesAreThoseOfPermitHolders)
{
    const auto members = makeMembers(7, 4);
    for (std::uint32_t slots = 0; slots < 6; ++slots) {
        const auto entries = entryAddressesOf(serviceOf(1), members, slots);
        const auto placed = placeService(serviceOf(1), members, std::min(slots, 3U));
        BOOST_REQUIRE_EQUAL(entries.size(), placed.size());
        for (std::size_t i = 0; i < entries.size(); ++i) {
            BOOST_TEST(entries[i] == placed[i].callerAddress);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
