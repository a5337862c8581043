#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "store/memory_object_store.h"

using namespace snipefall;

namespace {

struct write_case
{
    const char *name;
    std::uint64_t expected;
    bool succeeds;
};

std::ostream &operator<<(std::ostream &out, const write_case &row)
{
    return out << row.name;
}

const write_case WRITE_CASES[] = {
    {"create of an existing object", 0, false},
    {"update of the current version", 1, true},
    {"update of a version that does not exist yet", 2, false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(memory_object_store_tests)

// Guards against lost updates: a write must give the version that it replaces.
BOOST_DATA_TEST_CASE(writeIsConditional, WRITE_CASES)
{
    memory_object_store store;
    BOOST_REQUIRE(store.write(call_purpose::configuration, "key", "first", object_version(0)));
    const auto written = store.write(call_purpose::configuration, "key", "second", object_version(sample.expected));
    BOOST_TEST(written.hasValue() == sample.succeeds);
    BOOST_TEST(store.read(call_purpose::configuration, "key")->value == (sample.succeeds ? "second" : "first"));
}

// Guards against a memory_object_store that does not apply the write whose response it loses.
BOOST_AUTO_TEST_CASE(writeWithLostResponseTakesEffect)
{
    memory_object_store store;
    store.loseWriteResponses(1);
    const auto written = store.write(call_purpose::claim, "key", "value", object_version(0));
    BOOST_REQUIRE(!written);
    BOOST_TEST(toString(written.reason().code) == "unknown_result");
    BOOST_TEST(store.read(call_purpose::claim, "key")->value == "value");
}

BOOST_AUTO_TEST_SUITE_END()
