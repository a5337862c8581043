#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/uuid_v7.h"

using namespace snipefall;

namespace {

struct uuid_case
{
    const char *text;
    const char *canonical; ///< Empty when the text must be refused.
    std::uint64_t unixMs;
};

std::ostream &operator<<(std::ostream &out, const uuid_case &row)
{
    return out << row.text;
}

/** The first row is the example of RFC 9562, appendix A.6. */
const uuid_case TEXTS[] = {
    {"017F22E2-79B0-7CC3-98C4-DC0C0C07398F", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 0x017F22E279B0},
    {"ffffffff-ffff-7fff-bfff-ffffffffffff", "ffffffff-ffff-7fff-bfff-ffffffffffff", 0xFFFFFFFFFFFF},
    {"017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "", 0},
    {"017f22e2-79b0-7cc3-18c4-dc0c0c07398f", "", 0},
    {"017f22e2-79b0-7cc3-98c4-dc0c0c07398", "", 0},
    {"017f22e2-79b0-7cc3-98c4-dc0c0c07398g", "", 0},
    {"017f22e2079b0-7cc3-98c4-dc0c0c07398f", "", 0},
    {"017f22e279b07cc398c4dc0c0c07398f", "", 0},
    {"", "", 0},
};

struct age_case
{
    std::uint64_t createdMs;
    uuid_v7::age expected;
};

std::ostream &operator<<(std::ostream &out, const age_case &row)
{
    return out << row.createdMs;
}

/** Checked at 100,000 ms, with a retention of 50,000 ms and at most 5,000 ms ahead. */
const age_case AGES[] = {
    {49'999, uuid_v7::age::too_old},
    {50'000, uuid_v7::age::acceptable},
    {105'000, uuid_v7::age::acceptable},
    {105'001, uuid_v7::age::too_far_ahead},
};

} // namespace

BOOST_AUTO_TEST_SUITE(uuid_v7_tests)

// Guards against two spellings of one id that would count as two requests, and against ids without a creation time.
BOOST_DATA_TEST_CASE(parsesOnlyVersion7, TEXTS)
{
    const auto id = uuid_v7::parse(sample.text);
    BOOST_TEST((id ? id->text() : "") == sample.canonical);
    BOOST_TEST((id ? id->unixMs() : 0) == sample.unixMs);
}

// Guards against accepting an id so old that the record of its request may have been deleted.
BOOST_DATA_TEST_CASE(checksAge, AGES)
{
    const uuid_v7 id = uuid_v7::generate(sample.createdMs, ~0ULL, ~0ULL);
    BOOST_TEST((id.checkAge(100'000, 50'000, 5'000) == sample.expected));
    BOOST_TEST((uuid_v7::parse(id.text()) == id));
}

BOOST_AUTO_TEST_SUITE_END()
