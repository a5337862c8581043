#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "platform/server_announcement_reader.h"

using namespace snipefall;

namespace {

struct announcement_case
{
    const char *name;
    unsigned status;
    const char *leaving;
    const char *limit;
    const char *retryAfter;
    server_announcement expected;
};

std::ostream &operator<<(std::ostream &out, const announcement_case &row)
{
    return out << row.name;
}

constexpr std::nullopt_t NONE = std::nullopt;

const announcement_case ANNOUNCEMENT_CASES[] = {
    {"nothing", 200, "", "", "", {false, NONE, NONE}},
    {"a server that leaves", 200, "1", "", "", {true, NONE, NONE}},
    {"a server that leaves, in a refusal", 503, "1", "", "", {true, NONE, NONE}},
    {"an explicit no", 200, "0", "", "", {false, NONE, NONE}},
    {"another server at the address", 421, "1", "5", "2", {false, NONE, NONE}},
    {"a limit", 200, "", "27.5", "", {false, 27.5, NONE}},
    {"a limit of nothing", 500, "", "0", "", {false, 0.0, NONE}},
    {"a negative limit", 200, "", "-1", "", {false, NONE, NONE}},
    {"an infinite limit", 200, "", "inf", "", {false, NONE, NONE}},
    {"a limit that is no number", 200, "", "27.5x", "", {false, NONE, NONE}},
    {"a pause", 503, "", "", "0.25", {false, NONE, std::chrono::milliseconds(250)}},
    {"a pause with another status", 200, "", "", "0.25", {false, NONE, NONE}},
    {"a pause of nothing", 503, "", "", "0", {false, NONE, NONE}},
    {"an infinite pause", 503, "", "", "inf", {false, NONE, NONE}},
    {"a date", 503, "", "", "Sat, 05 Dec 2026 07:00:00 GMT", {false, NONE, NONE}},
};

} // namespace

BOOST_AUTO_TEST_SUITE(server_announcement_reader_tests)

// Guards against announcements that are missed, taken from another server, or read from text that is no number.
BOOST_DATA_TEST_CASE(readsWhatTheServerStates, boost::unit_test::data::make(ANNOUNCEMENT_CASES), row)
{
    http_response_message answer(static_cast<boost::beast::http::status>(row.status), 11);
    const std::pair<const char *, const char *> headers[] = {{"Server-Leaving", row.leaving}, {"Server-Limit", row.limit}, {"Retry-After", row.retryAfter}};
    for (const auto &[name, value] : headers) {
        if (*value != '\0') {
            answer.set(name, value);
        }
    }
    const server_announcement read = readServerAnnouncement(answer);
    BOOST_TEST(read.leaving == row.expected.leaving);
    BOOST_TEST((read.requestsPerSecond == row.expected.requestsPerSecond));
    BOOST_TEST((read.pause == row.expected.pause));
}

BOOST_AUTO_TEST_SUITE_END()
