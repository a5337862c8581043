#include <random>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/request_quarantine.h"

using namespace snipefall;

namespace {

const crash_event FIRST{backend_server_id("a"), 1};
const crash_event SECOND{backend_server_id("b"), 1};
const crash_event FIRST_AGAIN{backend_server_id("a"), 2};
const request_fingerprint CRASHING_REQUEST(1);

struct crash_status_case
{
    const char *name;
    std::vector<crash_event> crashes;
    bool succeedsBetween;
    request_crash_status expected;
};

std::ostream &operator<<(std::ostream &out, const crash_status_case &row)
{
    return out << row.name;
}

const crash_status_case CRASH_STATUS_CASES[] = {
    {"no crash", {}, false, request_crash_status::unknown},
    {"one crash", {FIRST}, false, request_crash_status::suspected},
    {"the same crash reported twice", {FIRST, FIRST}, false, request_crash_status::suspected},
    {"crashes of two servers", {FIRST, SECOND}, false, request_crash_status::quarantined},
    {"two crashes of one server", {FIRST, FIRST_AGAIN}, false, request_crash_status::quarantined},
    {"success between two crashes", {FIRST, SECOND}, true, request_crash_status::known_safe},
};

} // namespace

BOOST_AUTO_TEST_SUITE(request_quarantine_tests)

// Guards against a request that keeps crashing servers, and against quarantine after a single crash or repeated reports of the same crash.
BOOST_DATA_TEST_CASE(crashStatusFollowsCrashes, CRASH_STATUS_CASES)
{
    request_quarantine quarantine;
    const time_point now{};
    for (std::size_t i = 0; i < sample.crashes.size(); ++i) {
        quarantine.started(CRASHING_REQUEST, sample.crashes[i].server);
        quarantine.crashed(sample.crashes[i], now);
        if (sample.succeedsBetween && i == 0) {
            quarantine.started(CRASHING_REQUEST, backend_server_id("c"));
            BOOST_TEST(quarantine.ended(CRASHING_REQUEST, backend_server_id("c"), true));
        }
    }
    BOOST_TEST((quarantine.crashStatus(CRASHING_REQUEST) == sample.expected));
}

// Guards against false quarantine: harmless requests that run beside the crashing one are cleared when they succeed, so at most 1% of them may be quarantined
// because they were in flight at both crashes.
BOOST_AUTO_TEST_CASE(harmlessRequestsAreRarelyQuarantined)
{
    std::mt19937_64 random(20261204);
    std::size_t everQuarantined = 0;
    std::size_t quarantinedAtEnd = 0;
    constexpr std::uint64_t HARMLESS_REQUESTS = 200;
    for (int round = 0; round < 50; ++round) {
        request_quarantine quarantine;
        std::set<std::uint64_t> falselyQuarantined;
        for (std::uint64_t started = 0; started < 2; ++started) {
            const backend_server_id server(started == 0 ? "a" : "b");
            quarantine.started(CRASHING_REQUEST, server);
            for (int i = 0; i < 20; ++i) {
                const request_fingerprint harmless(2 + random() % HARMLESS_REQUESTS);
                quarantine.started(harmless, server);
                // Two thirds finish before the crash.
                if (random() % 3 != 0) {
                    quarantine.ended(harmless, server, true);
                }
            }
            for (const request_fingerprint suspect : quarantine.crashed({server, started}, time_point())) {
                if (suspect != CRASHING_REQUEST && quarantine.crashStatus(suspect) == request_crash_status::quarantined) {
                    falselyQuarantined.insert(suspect.value());
                }
            }
        }
        everQuarantined += falselyQuarantined.size();
        BOOST_TEST((quarantine.crashStatus(CRASHING_REQUEST) == request_crash_status::quarantined));
        for (std::uint64_t id = 2; id < 2 + HARMLESS_REQUESTS; ++id) {
            quarantinedAtEnd += quarantine.crashStatus(request_fingerprint(id)) == request_crash_status::quarantined ? 1 : 0;
        }
    }
    // Each round has about 13 harmless requests in flight at the crashes; a harmless request is in flight at both crashes only by chance.
    BOOST_TEST_MESSAGE("harmless fingerprints quarantined: " << everQuarantined << " of " << 50 * 200);
    BOOST_TEST(everQuarantined == quarantinedAtEnd);
    BOOST_TEST(everQuarantined <= 50U * 200U / 100U);
}

// Guards against unbounded memory use and against suspicions that never expire.
BOOST_AUTO_TEST_CASE(suspicionsExpire)
{
    request_quarantine quarantine;
    quarantine.suspect(CRASHING_REQUEST, FIRST, time_point());
    quarantine.tick(time_point() + request_quarantine::RETENTION);
    BOOST_TEST((quarantine.crashStatus(CRASHING_REQUEST) == request_crash_status::suspected));
    quarantine.tick(time_point() + request_quarantine::RETENTION + duration(1));
    BOOST_TEST((quarantine.crashStatus(CRASHING_REQUEST) == request_crash_status::unknown));
}

BOOST_AUTO_TEST_SUITE_END()
