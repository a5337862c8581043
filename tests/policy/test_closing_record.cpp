#include <random>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/closing_record.h"

using namespace snipefall;

namespace {

struct transition_case
{
    closing_state from;
    closing_state to;
    bool allowed;
};

std::ostream &operator<<(std::ostream &out, const transition_case &row)
{
    return out << toString(row.from) << " to " << toString(row.to);
}

const transition_case STEPS[] = {
    {closing_state::refusing, closing_state::refusing, true},
    {closing_state::refusing, closing_state::draining, true},
    {closing_state::refusing, closing_state::collecting, false},
    {closing_state::refusing, closing_state::signed_off, false},
    {closing_state::draining, closing_state::refusing, true},
    {closing_state::draining, closing_state::collecting, true},
    {closing_state::draining, closing_state::signed_off, false},
    {closing_state::collecting, closing_state::refusing, false},
    {closing_state::collecting, closing_state::draining, false},
    {closing_state::collecting, closing_state::signed_off, true},
    {closing_state::signed_off, closing_state::refusing, false},
    {closing_state::signed_off, closing_state::open, false},
    {closing_state::signed_off, closing_state::signed_off, true},
};

closing_record recordIn(closing_state state)
{
    closing_record record = *startClosing(service_id("svc"), "ana", "end of season", {closing_state::refusing, 1, node_id("n")});
    for (const closing_state next : {closing_state::draining, closing_state::collecting, closing_state::signed_off}) {
        if (record.state != state) {
            record = *advanceClosing(record, {next, 2, node_id("n")});
        }
    }
    return record;
}

} // namespace

BOOST_AUTO_TEST_SUITE(closing_record_tests)

// Guards against a closing that skips the drain, or that leaves the final state signed_off.
BOOST_DATA_TEST_CASE(allowsOnlyValidTransitions, boost::unit_test::data::make(STEPS))
{
    const closing_record record = recordIn(sample.from);
    const outcome<closing_record> next = advanceClosing(record, {sample.to, 9, node_id("m")});
    BOOST_TEST(next.hasValue() == sample.allowed);
    if (next && sample.from == sample.to) {
        BOOST_TEST((*next == record));
    }
    if (next) {
        const outcome<closing_record> read = parseClosingRecord(toJson(*next));
        BOOST_TEST((read.hasValue() && *read == *next));
    }
}

// Guards against a malformed record that is read as a closing in another state.
BOOST_AUTO_TEST_CASE(rejectsMalformedRecords)
{
    const json valid = toJson(recordIn(closing_state::collecting));
    for (const char *patch : {R"({"state":"signed"})", R"({"state":"shut"})", R"({"service":""})", R"({"steps":[]})", R"({"steps":[{"state":"draining"}]})"}) {
        json malformed = valid;
        malformed.merge_patch(json::parse(patch));
        BOOST_TEST(!parseClosingRecord(malformed).hasValue(), patch);
    }
    BOOST_TEST(!startClosing(service_id("svc"), "", "why", {closing_state::refusing, 1, node_id("n")}).hasValue());
}

BOOST_AUTO_TEST_SUITE_END()
