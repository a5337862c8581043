#include <array>
#include <map>
#include <memory>
#include <set>

#include <boost/test/unit_test.hpp>

#include "store/claim_log.h"
#include "tests/store/faulty_object_store.h"

using namespace snipefall;

namespace {

using kind = claim_result::kind;

constexpr std::size_t NODES = 4;
constexpr std::uint64_t BUCKETS = 2; ///< Few, so that nodes write to the same buckets.
const service_id SERVICE("order-book");

/** Simulates nodes that claim, pause, run, record and die on a faulty platform, and counts how often each request runs. */
struct claim_simulation
{
    struct claimed_request
    {
        request_id id;
        object_version token;
    };

    struct node
    {
        std::unique_ptr<claim_log<faulty_object_store>> log;
        std::vector<claimed_request> claimedRequests; ///< Claimed but not run yet; a request may stay here for any length of time.
        std::set<request_id> ownClaims; ///< Claims granted to the current incarnation.
        std::uint64_t started = 0;
    };

    explicit claim_simulation(std::uint64_t seed)
        : random(seed)
    {
        faulty.setFaultPercent(8);
        faulty.beforeWrite = [this] { claimFromOtherNode(); };
        for (std::size_t n = 0; n < NODES; ++n) {
            startIncarnation(n);
        }
    }

    std::uint64_t randomBelow(std::uint64_t count) { return random() % count; }

    void startIncarnation(std::size_t n)
    {
        // Clocks differ by up to 9 min, which is below CLAIM_RETENTION_MARGIN_MS.
        const std::uint64_t skew = randomBelow(540'000);
        nodes[n].started = ++incarnations;
        nodes[n].claimedRequests.clear();
        nodes[n].ownClaims.clear();
        nodes[n].log = std::make_unique<claim_log<faulty_object_store>>(
            faulty, claim_log_options{{node_id(std::to_string(n)), incarnation(incarnations)}, nextNonceSeed++, [this, skew] { return nowMs + skew; }});
    }

    request_id newId()
    {
        while (true) {
            request_id id(uuid_v7::generate(nowMs + randomBelow(900'000) - 300'000, random(), random()).text());
            if (claim_bucket::indexOf(id) < BUCKETS) {
                ids.push_back(id);
                return id;
            }
        }
    }

    void claim(std::size_t n, const request_id &id)
    {
        const claim_result result = nodes[n].log->claim(SERVICE, id);
        ++results[result.status];
        if (result.status == kind::claimed) {
            BOOST_REQUIRE(everClaimed.insert(id).second);
            BOOST_REQUIRE(!reportedNotRun.contains(id));
            nodes[n].ownClaims.insert(id);
            nodes[n].claimedRequests.push_back({id, result.fencingToken});
        } else if (result.status == kind::refused) {
            // An id that is too old is refused before the bucket is read; any other refusal must come from a node that has not run the request and never will.
            BOOST_REQUIRE((result.reason.code == error_code::invalid_argument || !nodes[n].ownClaims.contains(id) || notRunByBackendServer.contains(id)));
        } else if (result.entry->state == claim_state::ran) {
            BOOST_REQUIRE(runs[id] == 1);
            BOOST_REQUIRE(result.entry->resultBody.value_or(id.str()) == id.str());
        } else if (result.entry->state == claim_state::not_run) {
            reportedNotRun.insert(id);
        }
    }

    void submit()
    {
        const std::size_t n = randomBelow(NODES);
        const bool repeat = !ids.empty() && randomBelow(2) == 0;
        const std::size_t recent = std::min<std::size_t>(ids.size(), randomBelow(4) == 0 ? ids.size() : 6);
        currentId = repeat ? ids[ids.size() - 1 - randomBelow(recent)] : newId();
        currentNode = n;
        claim(n, currentId);
        currentNode = NODES;
    }

    /** Lets another node claim the same or another id just before the write of a claim takes effect. */
    void claimFromOtherNode()
    {
        if (currentNode == NODES || randomBelow(5) != 0) {
            return;
        }
        const std::size_t other = (std::exchange(currentNode, NODES) + 1 + randomBelow(NODES - 1)) % NODES;
        claim(other, randomBelow(2) == 0 ? currentId : newId());
    }

    void run()
    {
        node &self = nodes[randomBelow(NODES)];
        if (self.claimedRequests.empty()) {
            return;
        }
        const std::size_t index = randomBelow(self.claimedRequests.size());
        const claimed_request request = self.claimedRequests[index];
        self.claimedRequests.erase(self.claimedRequests.begin() + static_cast<std::ptrdiff_t>(index));
        claim_state state = randomBelow(4) == 0 ? claim_state::unknown : claim_state::ran;
        if (randomBelow(5) == 0) {
            state = claim_state::not_run;
            notRunByBackendServer.insert(request.id);
        } else {
            BOOST_REQUIRE(++runs[request.id] == 1);
            BOOST_REQUIRE(!reportedNotRun.contains(request.id));
        }
        for (std::uint64_t turn = randomBelow(3); turn < 3; ++turn) {
            const auto recorded = self.log->recordResult(SERVICE, request.id, request.token, state, request.id.str());
            saved += recorded.hasValue() ? 1 : 0;
        }
    }

    void step()
    {
        const std::uint64_t action = randomBelow(100);
        if (action < 55) {
            submit();
        } else if (action < 90) {
            run();
        } else if (action < 92) {
            startIncarnation(randomBelow(NODES));
        } else if (action < 98) {
            nowMs += randomBelow(120'000);
        } else {
            nowMs += randomBelow(13ULL * 3'600'000);
        }
    }

    void checkStore()
    {
        for (std::uint64_t bucket = 0; bucket < BUCKETS; ++bucket) {
            const auto stored = store.read(call_purpose::claim, claim_bucket::keyOf(SERVICE, bucket));
            if (!stored) {
                continue;
            }
            const auto parsedBucket = claim_bucket::parse(*stored);
            for (const auto &[id, entry] : parsedBucket->entries) {
                BOOST_REQUIRE((entry.state != claim_state::ran || runs[id] == 1));
                BOOST_REQUIRE((entry.state != claim_state::not_run || runs[id] == 0));
                refusedAndRecorded += entry.state == claim_state::not_run && !notRunByBackendServer.contains(id) ? 1 : 0;
            }
        }
    }

    std::mt19937_64 random;
    memory_object_store store;
    faulty_object_store faulty{store, random};
    std::uint64_t nowMs = 1'800'000'000'000;
    std::uint64_t incarnations = 0;
    std::uint64_t nextNonceSeed = 100;
    std::array<node, NODES> nodes;
    std::vector<request_id> ids;
    std::size_t currentNode = NODES; ///< The node whose claim may be interrupted by another node; NODES if there is none.
    request_id currentId;
    std::map<request_id, int> runs;
    std::set<request_id> everClaimed;
    std::set<request_id> reportedNotRun;
    std::set<request_id> notRunByBackendServer;
    std::map<kind, int> results;
    int saved = 0;
    int refusedAndRecorded = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(claim_log_fuzz_tests)

// Guards against requests that run twice and against wrong "not run" answers, under repeats through other nodes, lost responses, late writes and
// outages, combined with nodes that die or pause between claim and run, clock skew and expiring entries.
BOOST_AUTO_TEST_CASE(requestsNeverRunTwiceUnderFaults)
{
    std::map<kind, int> results;
    int saved = 0;
    int refusedAndRecorded = 0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        claim_simulation simulation(seed);
        for (int step = 0; step < 500; ++step) {
            simulation.step();
        }
        simulation.checkStore();
        for (const auto &[status, count] : simulation.results) {
            results[status] += count;
        }
        saved += simulation.saved;
        refusedAndRecorded += simulation.refusedAndRecorded;
    }
    BOOST_TEST_MESSAGE("claimed " << results[kind::claimed] << ", already claimed " << results[kind::already_claimed] << ", refused " << results[kind::refused]
                                  << ", results saved " << saved << ", refused after a lost response and recorded as not run " << refusedAndRecorded);
    BOOST_TEST((results[kind::claimed] > 1'000 && results[kind::already_claimed] > 1'000 && results[kind::refused] > 1'000));
    BOOST_TEST((saved > 1'000 && refusedAndRecorded > 0));
}

BOOST_AUTO_TEST_SUITE_END()
