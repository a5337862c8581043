#include <ostream>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/move_controller.h"
#include "policy/move_outcome.h"
#include "tests/policy/move_samples.h"

using namespace snipefall;

namespace {

struct decision_case
{
    const char *name;
    move_state state;
    std::uint32_t share;
    std::uint64_t stepElapsedMs; ///< Time since the start of the step.
    std::uint64_t stepStartMs; ///< After the start of the move.
    std::uint64_t answers;
    std::uint64_t errors;
    std::uint32_t coldServers;
    const char *factOfMove; ///< Move id of a known bad_version fact, or null.
    move_action action;
    std::uint32_t nextShare;
};

std::ostream &operator<<(std::ostream &out, const decision_case &row)
{
    return out << row.name;
}

using enum move_state;
using enum move_action;

const decision_case DECISION_CASES[] = {
    {"grows after enough answers", canary, 5, 6'000, 0, 1000, 2, 0, nullptr, raise_share, 10},
    {"first share below 5% grows to 5%", canary, 1, 6'000, 0, 1000, 2, 0, nullptr, raise_share, 5},
    {"grows through every share", growing, 25, 6'000, 9'000, 1000, 2, 0, nullptr, raise_share, 50},
    {"finishes only after a step at 100%", growing, 100, 6'000, 9'000, 1000, 2, 0, nullptr, finish, 100},
    {"waits for the shortest time of a step", canary, 5, 5'900, 0, 1000, 2, 0, nullptr, none, 0},
    {"waits for answers within the step's time", canary, 5, 5'000, 0, 100, 0, 0, nullptr, none, 0},
    {"grows on fewer answers when the step's time is used up", canary, 5, 12'000, 0, 100, 0, 0, nullptr, raise_share, 10},
    {"never grows on almost no answers", canary, 5, 40'000, 0, 19, 0, 0, nullptr, none, 0},
    {"waits for cold servers", canary, 5, 7'000, 0, 1000, 2, 1, nullptr, none, 0},
    {"cold servers hold a move only for the warm-up limit", growing, 10, 6'000, 12'000, 1000, 2, 1, nullptr, raise_share, 25},
    {"holds on weak evidence", canary, 5, 7'000, 0, 1000, 15, 0, nullptr, none, 0},
    {"rolls back on strong evidence", canary, 5, 1'000, 0, 400, 40, 0, nullptr, roll_back, 0},
    {"rolls back on a fact of this move", growing, 50, 1'000, 9'000, 400, 2, 0, "m1", roll_back, 0},
    {"ignores a fact of another move", growing, 50, 6'000, 9'000, 1000, 2, 0, "m0", raise_share, 100},
    {"rolls back before the deadline with too few answers", canary, 5, 56'000, 0, 19, 0, 0, nullptr, roll_back, 0},
    {"does not finish within the margin before the deadline", growing, 100, 10'000, 46'000, 1000, 2, 0, nullptr, roll_back, 0},
    {"rolls back after the deadline", growing, 100, 60'000, 30'000, 1000, 2, 0, nullptr, roll_back, 0},
    {"observes after done", done, 100, 15'000, 40'000, 4000, 20, 0, nullptr, none, 0},
    {"rolls back on a fault in the observation period", done, 100, 15'000, 40'000, 4000, 120, 0, nullptr, roll_back, 0},
    {"ends with the observation period", done, 100, 20'000, 40'000, 4000, 120, 0, "m1", none, 0},
    {"leaves a rollback alone", rolled_back, 0, 1'000, 9'000, 0, 0, 0, "m1", none, 0},
};

struct outcome_case
{
    const char *name;
    std::optional<move_state> state;
    bool readable;
    std::int64_t afterDeadlineMs;
    move_outcome expected;
};

std::ostream &operator<<(std::ostream &out, const outcome_case &row)
{
    return out << row.name;
}

const outcome_case OUTCOME_CASES[] = {
    {"never read", std::nullopt, false, -1, move_outcome::not_yet_known},
    {"running", growing, true, -1, move_outcome::running},
    {"running through an outage", growing, false, -1, move_outcome::running},
    {"unfinished at the deadline", growing, true, 0, move_outcome::rolled_back},
    {"unfinished at the deadline and not readable", growing, false, 0, move_outcome::not_yet_known},
    {"recorded as done", done, true, 1'000'000, move_outcome::done},
    {"known to be done during an outage", done, false, 1, move_outcome::done},
    {"recorded as rolled back", rolled_back, false, -1, move_outcome::rolled_back},
};

struct invalid_case
{
    const char *name;
    const char *patch; ///< Merged into the JSON of a valid record.
    const char *expectedError;
};

std::ostream &operator<<(std::ostream &out, const invalid_case &row)
{
    return out << row.name;
}

const invalid_case INVALID_CASES[] = {
    {"unknown state", R"({"state":"paused"})", "state: \"paused\""},
    {"first share too large", R"({"share_percent":6,"steps":[{"state":"canary","share_percent":6,"started_ms":1000000}]})", "share_percent: 6"},
    {"same version", R"({"to":"v1"})", "to: \"v1\""},
    {"no author", R"({"author":""})", "author:"},
    {"deadline before start", R"({"deadline_ms":5})", "deadline_ms: 5"},
    {"start that overflows", R"({"started_ms":18446744073709551615})", "deadline_ms:"},
    {"observation that overflows", R"({"observation_ms":18446744073709551615})", "observation_ms:"},
    {"history of another type", R"({"steps":"none"})", "steps:"},
    {"history that does not match", R"({"share_percent":4})", "steps:"},
    {"growth after a rollback",
     R"({"state":"growing","share_percent":10,"step_started_ms":9,"steps":[{"state":"canary","share_percent":5,"started_ms":1},
         {"state":"rolled_back","share_percent":0,"started_ms":5},{"state":"growing","share_percent":10,"started_ms":9}]})",
     "nothing follows a rollback"},
    {"two fields at once", R"({"service":"","move_id":7})", "move_id: a non-empty text is needed; service: a non-empty text is needed"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(move_controller_tests)

// Guards against transitions that violate G5: the share grows only on sufficient answers without a fault, a fault or the deadline causes a rollback, and a
// final state never changes.
BOOST_DATA_TEST_CASE(decidesNextStep, DECISION_CASES)
{
    const std::uint64_t stepStart = SAMPLE_START_MS + sample.stepStartMs;
    move_input input;
    input.record = sampleMoveAt(sample.state, sample.share, stepStart);
    input.version = object_version(7);
    input.observations = sampleObservations(input.record, sample.answers, sample.errors);
    input.warmUp = {2, sample.coldServers};
    input.nowMs = stepStart + sample.stepElapsedMs;
    if (sample.factOfMove) {
        input.facts.assign(2, {service_id("s"), version_id("v2"), sample.factOfMove, "crashes"});
    }
    const move_decision decision = move_controller().decide(input);
    BOOST_TEST_INFO(decision.reason);
    BOOST_REQUIRE(decision.action == sample.action);
    if (decision.action == none) {
        return;
    }
    BOOST_TEST(decision.expected.value() == 7U);
    BOOST_TEST(decision.record.sharePercent == sample.nextShare);
    BOOST_TEST(decision.record.steps.size() == input.record.steps.size() + 1);
    const auto decoded = parseMoveRecord(toJson(decision.record));
    BOOST_REQUIRE_MESSAGE(decoded.hasValue(), decoded.reason().message);
    BOOST_CHECK(*decoded == decision.record);
}

// Guards against raising the share because of observations from an earlier share or another move.
BOOST_AUTO_TEST_CASE(ignoresObservationsOfOtherSteps)
{
    move_input input{sampleMove(), object_version(1), {}, {2, 0}, {}, SAMPLE_START_MS + 6'000};
    input.observations = sampleObservations(input.record, 1000, 5);
    input.observations.sharePercent = 1;
    BOOST_CHECK(move_controller().decide(input).action == none);
    input.observations.sharePercent = 5;
    input.observations.merge({"m0", 5, input.observations.step, {}});
    BOOST_TEST(input.observations.newVersionAnswers() == 1000U);
    input.observations.merge(sampleObservations(input.record, 100, 0));
    BOOST_TEST(input.observations.newVersionAnswers() == 1100U);
}

// Guards against a wrong outcome when the deadline passes during a platform outage, so that the record can't be read.
BOOST_DATA_TEST_CASE(derivesOutcomeFromRecord, OUTCOME_CASES)
{
    std::optional<move_record> record;
    if (sample.state) {
        record = sampleMoveAt(*sample.state, *sample.state == done ? 100 : 0, SAMPLE_START_MS + 1);
    }
    const auto now = static_cast<std::uint64_t>(static_cast<std::int64_t>(SAMPLE_DEADLINE_MS) + sample.afterDeadlineMs);
    BOOST_TEST(toString(moveOutcome(record, sample.readable, now)) == toString(sample.expected));
}

// Guards against decisions on an invalid record; the error must name each invalid field.
BOOST_DATA_TEST_CASE(rejectsInvalidMoveRecords, INVALID_CASES)
{
    json document = toJson(sampleMove());
    document.merge_patch(json::parse(sample.patch));
    const auto decoded = parseMoveRecord(document);
    BOOST_REQUIRE(!decoded);
    BOOST_TEST(decoded.reason().message.find(sample.expectedError) != std::string::npos, decoded.reason().message);
}

BOOST_AUTO_TEST_SUITE_END()
