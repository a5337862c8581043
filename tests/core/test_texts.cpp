#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/hex.h"
#include "core/log_level.h"
#include "core/nearest_name.h"

using namespace snipefall;

namespace {

struct name_case
{
    std::string given;
    std::string nearest; ///< Empty if no candidate is within the maximum edit distance.
};

std::ostream &operator<<(std::ostream &out, const name_case &row)
{
    return out << row.given;
}

const std::vector<std::string> CANDIDATES = {"status", "config show", "config diff", "domain out", "domain in"};

const name_case NAME_CASES[] = {
    {"status", "status"},
    {"statsu", "status"},
    {"stat", "status"},
    {"sta", ""},
    {"config shwo", "config show"},
    {"domain ot", "domain out"},
    {"domain i", "domain in"},
    {"", ""},
    {"entries", ""},
};

struct hex_case
{
    std::string text;
    bool valid;
    std::string bytes;
};

std::ostream &operator<<(std::ostream &out, const hex_case &row)
{
    return out << '"' << row.text << '"';
}

const hex_case HEX_CASES[] = {
    {"", true, ""},
    {"00ff7f80", true, std::string("\0\xff\x7f\x80", 4)},
    {"0123456789abcdef", true, "\x01\x23\x45\x67\x89\xab\xcd\xef"},
    {"0", false, ""},
    {"abc", false, ""},
    {"AB", false, ""},
    {"0g", false, ""},
    {" 0", false, ""},
    {"0x", false, ""},
};

struct level_case
{
    const char *text;
    std::optional<log_level> level;
};

std::ostream &operator<<(std::ostream &out, const level_case &row)
{
    return out << '"' << row.text << '"';
}

const level_case LEVEL_CASES[] = {
    {"debug", log_level::debug},
    {"info", log_level::info},
    {"warning", log_level::warning},
    {"error", log_level::error},
    {"Error", std::nullopt},
    {"warn", std::nullopt},
    {"", std::nullopt},
    {"info ", std::nullopt},
};

} // namespace

BOOST_AUTO_TEST_SUITE(text_tests)

// Guards against suggestions that are unrelated to the given name.
BOOST_DATA_TEST_CASE(findsNearestNames, NAME_CASES)
{
    BOOST_TEST(nearestName(sample.given, CANDIDATES).value_or("") == sample.nearest);
}

// Guards against a malformed digest or key that is decoded as a shorter one.
BOOST_DATA_TEST_CASE(readsAndWritesHex, HEX_CASES)
{
    const std::optional<std::string> bytes = fromHex(sample.text);
    BOOST_TEST(bytes.has_value() == sample.valid);
    BOOST_TEST(bytes.value_or("") == sample.bytes);
    if (sample.valid) {
        BOOST_TEST(toHex(sample.bytes) == sample.text);
    }
}

// Guards against a misspelt log level that is accepted and disables logging.
BOOST_DATA_TEST_CASE(parsesLogLevels, LEVEL_CASES)
{
    BOOST_TEST((parseLogLevel(sample.text) == sample.level));
    if (sample.level) {
        BOOST_TEST(toString(*sample.level) == sample.text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
