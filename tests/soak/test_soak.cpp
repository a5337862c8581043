#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/soak/soak_run.h"

using namespace snipefall;

namespace {

/** A short soak run; some seeds are those of runs that failed before. */
struct soak_case
{
    unsigned seed;
    bool move;
    std::chrono::milliseconds copyAge; ///< Age of the store's copy.
    const char *cause; ///< Cause of the earlier failure of this seed, if any.
};

std::ostream &operator<<(std::ostream &out, const soak_case &row)
{
    return out << row.seed << " " << row.cause;
}

const soak_case SOAK_CASES[] = {
    {1, false, {}, "never failed"},
    {2, false, {}, "never failed"},
    {13, false, {}, "a watch's answer was lost with its connection left open, and the node kept the old configuration for up to 25 s"},
    {30, false, {}, "as 13, at the first node"},
    {5, true, {}, "never failed"},
    {6, true, {}, "never failed"},
    {7, true, std::chrono::milliseconds(2500), "never failed"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(soak_tests)

// Guards against violations of the guarantees to callers and backend servers while several faults of nodes, backend servers and the store overlap.
BOOST_DATA_TEST_CASE(guaranteesHoldUnderOverlappingFaults, boost::unit_test::data::make(SOAK_CASES), row)
{
    soak_run::options options;
    options.seed = row.seed;
    options.move = row.move;
    options.copyAge = row.copyAge;
    options.faultDuration = std::chrono::seconds(6);
    soak_run soak(options);
    for (const std::string &what : soak.run()) {
        BOOST_ERROR(what);
    }
    BOOST_TEST_MESSAGE(soak.summary());
}

BOOST_AUTO_TEST_SUITE_END()
