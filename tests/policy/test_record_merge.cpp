#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/record_merge.h"

using namespace snipefall;

namespace {

std::string record(char first)
{
    return std::string(1, first) + std::string(RECORD_BYTES - 1, 'x');
}

struct merge_case
{
    const char *name;
    std::vector<std::string> bodies;
    std::size_t count;
    std::string merged;
};

std::ostream &operator<<(std::ostream &out, const merge_case &row)
{
    return out << row.name;
}

const merge_case MERGE_CASES[] = {
    {"greatest first", {record('b') + record('d'), record('c') + record('a')}, 3, record('d') + record('c') + record('b')},
    {"fewer records than the count", {record('a'), record('b')}, 5, record('b') + record('a')},
    {"duplicates are kept", {record('a'), record('a')}, 2, record('a') + record('a')},
    {"an incomplete record is ignored", {record('a') + "zzz", "zzzzzzzzzzzzzzz"}, 3, record('a')},
    {"bytes above 127 are greater", {record('a') + record('\x80')}, 1, record('\x80')},
    {"empty parts", {"", ""}, 3, ""},
    {"a count of 0", {record('a')}, 0, ""},
};

} // namespace

BOOST_AUTO_TEST_SUITE(record_merge_tests)

// Guards against answers that do not contain the greatest records of all shards.
BOOST_DATA_TEST_CASE(keepsGreatestRecords, boost::unit_test::data::make(MERGE_CASES), row)
{
    const std::vector<std::string_view> bodies(row.bodies.begin(), row.bodies.end());
    BOOST_TEST(greatestRecords(bodies, row.count) == row.merged);
}

BOOST_AUTO_TEST_SUITE_END()
