#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "node/placement_cache.h"
#include "policy/placement.h"

using namespace snipefall;

namespace {

std::vector<placement_member> members(std::uint64_t count)
{
    std::vector<placement_member> result;
    result.reserve(count);
    for (std::uint64_t i = 0; i < count; ++i) {
        result.push_back({node_id("n" + std::to_string(i)), incarnation(1), failure_domain_id("d" + std::to_string(i % 3)), 1.0, ""});
    }
    return result;
}

std::vector<node_id> idsOf(const std::vector<placement_member> &placed)
{
    std::vector<node_id> ids;
    ids.reserve(placed.size());
    for (const placement_member &peer : placed) {
        ids.push_back(peer.id);
    }
    return ids;
}

} // namespace

BOOST_AUTO_TEST_SUITE(placement_cache_tests)

// Guards against a cached placement that is still returned after the membership changed, and against repeated computation for an unchanged membership.
BOOST_AUTO_TEST_CASE(computesPlacementOncePerMembershipVersion)
{
    std::uint64_t version = 1;
    std::size_t reads = 0;
    placement_cache cache([&] { return version; },
                          [&] {
                              ++reads;
                              return members(version);
                          });
    for (version = 1; version <= 12; ++version) {
        for (int i = 0; i < 3; ++i) {
            for (const char *name : {"a", "b", "c"}) {
                const service_id service(name);
                const auto placement = cache.placementOf(service);
                BOOST_TEST(placement->live->size() == version);
                BOOST_TEST((idsOf(placement->placed) == idsOf(placeService(service, members(version), MAX_PERMIT_HOLDERS))));
                BOOST_TEST(placement->includesNode(placement->placed[0].id));
                BOOST_TEST(!placement->includesNode(node_id("elsewhere")));
            }
        }
        BOOST_TEST(reads == version);
    }
}

// Guards against a placement that is outdated or mixes two membership versions, when threads look up placements while the membership changes.
BOOST_AUTO_TEST_CASE(concurrentLookUpsReturnCurrentPlacements)
{
    constexpr std::uint64_t LAST = 300;
    std::atomic<std::uint64_t> version{1};
    placement_cache cache([&] { return version.load(); }, [&] { return members(version); });
    std::atomic<int> outdated{0};
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            while (version < LAST) {
                const std::uint64_t before = version;
                const auto placement = cache.placementOf(service_id("svc"));
                const std::size_t size = placement->live->size();
                const bool matches = idsOf(placement->placed) == idsOf(placeService(service_id("svc"), members(size), MAX_PERMIT_HOLDERS));
                outdated += size < before || !matches ? 1 : 0;
            }
        });
    }
    while (version < LAST) {
        ++version;
        std::this_thread::yield();
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    BOOST_TEST(outdated == 0);
    BOOST_TEST(cache.placementOf(service_id("svc"))->live->size() == LAST);
}

BOOST_AUTO_TEST_SUITE_END()
