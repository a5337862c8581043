#include <ostream>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/connections/connection_limits.h"

using namespace snipefall;

namespace {

constexpr std::size_t RECEIVE_BUFFER = 32768;
constexpr std::size_t MB = 1U << 20U;

struct limits_case
{
    const char *name;
    std::size_t descriptors;
    std::size_t memoryBytes;
    std::size_t callers;
    std::size_t other;
};

std::ostream &operator<<(std::ostream &out, const limits_case &row)
{
    return out << row.name;
}

const limits_case LIMITS_CASES[] = {
    {"half of the descriptors that aren't for files", 4100, 68 * MB, 1950, 243},
    {"a receive buffer for each", 4400, 20 * MB, 640, 80},
    {"descriptors unknown", 0, 20 * MB, 640, 80},
    {"memory unknown", 4100, ~std::size_t{0}, 1950, 243},
    {"both unknown", 0, ~std::size_t{0}, 65536, 8192},
    {"few descriptors", 210, 20 * MB, 5, 8},
};

} // namespace

BOOST_AUTO_TEST_SUITE(connection_limit_tests)

// Guards against more connections than the machine has descriptors or memory for.
BOOST_DATA_TEST_CASE(connectionsFitTheMachine, boost::unit_test::data::make(LIMITS_CASES), row)
{
    const connection_limits limits = connectionLimits(row.descriptors, row.memoryBytes, RECEIVE_BUFFER);
    BOOST_TEST(limits.callers == row.callers);
    BOOST_TEST(limits.other == row.other);
}

BOOST_AUTO_TEST_SUITE_END()
