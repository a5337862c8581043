#include <optional>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/version_router.h"

using namespace snipefall;

namespace {

constexpr std::uint64_t DEADLINE_MS = 1000;

struct reason_case
{
    const char *name;
    std::optional<move_state> state; ///< Empty without a move.
    std::uint32_t sharePercent;
    bool readable;
    std::uint64_t nowMs;
    bool faulty;
    const char *version;
    const char *reason;
};

std::ostream &operator<<(std::ostream &out, const reason_case &row)
{
    return out << row.name;
}

const reason_case REASON_CASES[] = {
    {"no move", std::nullopt, 0, true, 0, false, "v0", "configured"},
    {"within the share", move_state::growing, 100, true, 0, false, "v2", "move_share"},
    {"outside of the share", move_state::growing, 0, true, 0, false, "v1", "move_remainder"},
    {"fault during the move", move_state::growing, 100, true, 0, true, "v1", "bad_version"},
    {"done", move_state::done, 100, true, 0, false, "v2", "move_done"},
    {"done, unreadable after the deadline", move_state::done, 100, false, DEADLINE_MS, false, "v2", "move_done"},
    {"fault after done", move_state::done, 100, true, 0, true, "v1", "bad_version"},
    {"rolled back", move_state::rolled_back, 0, true, 0, false, "v1", "rolled_back"},
    {"deadline passed", move_state::growing, 100, true, DEADLINE_MS, false, "v1", "rolled_back"},
    {"deadline passed, unreadable", move_state::growing, 100, false, DEADLINE_MS, false, "v1", "not_yet_known"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(version_router_tests)

// Guards against query traces that give a reason other than the one for which the version was chosen.
BOOST_DATA_TEST_CASE(reasonFollowsMoveState, REASON_CASES)
{
    version_router router(service_id("s"));
    if (sample.state) {
        move_record record;
        record.moveId = "m1";
        record.service = service_id("s");
        record.from = version_id("v1");
        record.to = version_id("v2");
        record.sharePercent = sample.sharePercent;
        record.state = *sample.state;
        record.deadlineMs = DEADLINE_MS;
        router.setMove(record, sample.readable);
    }
    if (sample.faulty) {
        router.addFact({service_id("s"), version_id("v2"), "m1", "errors"});
    }
    const version_choice choice = router.decide(1, sample.nowMs, version_id("v0"));
    BOOST_TEST(choice.version.str() == sample.version);
    BOOST_TEST(toString(choice.reason) == sample.reason);
    BOOST_TEST((router.choose(1, sample.nowMs, version_id("v0")) == choice.version));
}

BOOST_AUTO_TEST_SUITE_END()
