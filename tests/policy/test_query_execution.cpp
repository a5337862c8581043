#include <optional>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/query_execution.h"

using namespace snipefall;
using std::chrono::milliseconds;

namespace {

constexpr time_point START{std::chrono::seconds(10)};
constexpr milliseconds HEDGE_DELAY{20};

/** A query over shards of 100 items each, all held by every server; shard s prefers server s % replicas. */
struct fixture
{
    explicit fixture(std::uint32_t shards, std::uint32_t replicas, query_options changed = {}, std::int64_t earned = 1000)
        : options(changed)
        , budget({100, 100, 1000})
    {
        plan->snapshot = snapshot_id("s1");
        plan->servers.assign(replicas, backend_server_id("server"));
        for (std::uint32_t shard = 0; shard < shards; ++shard) {
            plan->shards.push_back({100, {}});
            for (std::uint32_t replica = 0; replica < replicas; ++replica) {
                plan->shards.back().candidates.emplace_back((shard + replica) % replicas);
            }
        }
        budget.countFirst(START, START, earned);
        options.number = query_number(1);
        options.hedges.delay = HEDGE_DELAY;
        options.hedges.maxOpenShare = 1;
    }

    query_execution &start()
    {
        execution.emplace(plan, options, budget);
        execution->start(START, actions);
        return *execution;
    }

    sub_answer answerTo(const send_action &sent) const { return {sent.sub, sent.shard, plan->snapshot, 100, "r" + std::to_string(sent.shard.value())}; }

    void answer(const send_action &sent, time_point now) { execution->subRequestAnswered(answerTo(sent), now, actions); }

    /** Ticks until the query ends, without any further answer, and returns the time of the last tick. */
    time_point runOut()
    {
        time_point now = START;
        while (!execution->ended()) {
            now = execution->nextTick();
            execution->tick(now, actions);
        }
        return now;
    }

    std::shared_ptr<query_plan> plan = std::make_shared<query_plan>();
    query_options options;
    extra_load_budget budget;
    std::optional<query_execution> execution;
    query_actions actions;
};

struct failure_case
{
    shard_failure kind;
    std::uint32_t replicas;
    std::size_t sends; ///< Sub-requests of shard 0, all of which fail with this kind.
    bool restart; ///< Whether the query requests a restart.
};

std::ostream &operator<<(std::ostream &out, const failure_case &row)
{
    return out << toString(row.kind) << " with " << row.replicas << " replicas";
}

template <typename Row>
requires requires(const Row &row)
{
    row.name;
}
std::ostream &operator<<(std::ostream &out, const Row &row)
{
    return out << row.name;
}

const failure_case FAILURE_CASES[] = {
    {shard_failure::connect_failed, 1, 1, false},
    {shard_failure::connect_failed, 2, 2, false},
    {shard_failure::draining, 2, 2, false},
    {shard_failure::snapshot_not_held, 1, 1, true},
    {shard_failure::snapshot_not_held, 3, 3, true},
    {shard_failure::shed, 1, 4, false},
    {shard_failure::closed, 2, 4, false},
    {shard_failure::no_progress, 2, 4, false},
    {shard_failure::deadline, 2, 4, false},
    {shard_failure::invalid_answer, 2, 4, false},
};

struct drop_case
{
    const char *name;
    void (*change)(sub_answer &);
    std::uint32_t dropped_answers::*count;
};

const drop_case DROP_CASES[] = {
    {"sub-request of another query",
     [](sub_answer &answer) { answer.sub = sub_request_id(answer.sub.value() + (1U << 20)); },
     &dropped_answers::unknownSubRequest},
    {"sub-request never sent", [](sub_answer &answer) { answer.sub = sub_request_id(answer.sub.value() + 999); }, &dropped_answers::unknownSubRequest},
    {"another shard", [](sub_answer &answer) { answer.shard = shard_index(1); }, &dropped_answers::wrongShard},
    {"a shard out of range", [](sub_answer &answer) { answer.shard = shard_index(77); }, &dropped_answers::wrongShard},
    {"another snapshot", [](sub_answer &answer) { answer.snapshot = snapshot_id("s2"); }, &dropped_answers::wrongSnapshot},
    {"more items than the shard has", [](sub_answer &answer) { answer.itemsSeen = 101; }, &dropped_answers::tooManyItems},
};

struct end_case
{
    const char *name;
    answer_policy policy;
    double minCoverage;
    int answeredBefore; ///< Number of shards, out of four, answered at 10 ms.
    int answeredLate; ///< Number of further shards answered at 120 ms, which is after goodEnough of 50 ms.
    int endMs;
    query_status status;
};

const end_case END_CASES[] = {
    {"all answer", answer_policy::wait_for_coverage, 1.0, 4, 0, 10, query_status::complete},
    {"wait for coverage until the deadline", answer_policy::wait_for_coverage, 0.5, 3, 0, 300, query_status::partial},
    {"too little at the deadline", answer_policy::wait_for_coverage, 0.8, 3, 0, 300, query_status::below_min_coverage},
    {"good enough in time", answer_policy::answer_in_time, 0.5, 2, 1, 50, query_status::partial},
    {"good enough later", answer_policy::answer_in_time, 0.75, 2, 1, 120, query_status::partial},
    {"never good enough", answer_policy::answer_in_time, 1.0, 2, 1, 300, query_status::below_min_coverage},
    {"nothing is never good enough", answer_policy::answer_in_time, 0.0, 0, 0, 300, query_status::below_min_coverage},
};

} // namespace

BOOST_AUTO_TEST_SUITE(query_execution_tests)

// Guards against retries without a bound, retries that do not use all replicas, retries after a permanent failure, and a missing shard reported with
// another reason than its last failure.
BOOST_DATA_TEST_CASE(failedShardsUseAllReplicasThenAreMissing, FAILURE_CASES)
{
    fixture test(2, sample.replicas);
    query_execution &query = test.start();
    std::size_t sends = 0;
    for (std::size_t next = 0; next < test.actions.sends.size(); ++next) {
        const send_action sent = test.actions.sends[next];
        if (sent.shard == shard_index(1)) {
            test.answer(sent, START);
            continue;
        }
        BOOST_TEST(sent.extra == (sends > 0));
        sends += 1;
        query.subRequestFailed(sent.sub, sample.kind, START + milliseconds(1), test.actions);
        query.tick(START + milliseconds(12 * static_cast<int>(sends)), test.actions);
    }
    BOOST_TEST(sends == sample.sends);
    BOOST_TEST(test.actions.restartOnNewerSnapshot == sample.restart);
    BOOST_REQUIRE(test.actions.finish.has_value());
    const coverage &covered = test.actions.finish->covered;
    BOOST_TEST((test.actions.finish->status == query_status::partial));
    BOOST_TEST((covered.itemsSeen == 100U && covered.itemsTotal == 200U && covered.missing.size() == 1U));
    BOOST_TEST((covered.missing.at(0).reason == sample.kind));
}

// Guards against merging an answer to another sub-request, or from another shard or snapshot. A retry of the shard must still be merged.
BOOST_DATA_TEST_CASE(mismatchedAnswersAreDropped, DROP_CASES)
{
    fixture test(2, 2);
    query_execution &query = test.start();
    sub_answer changed = test.answerTo(test.actions.sends[0]);
    sample.change(changed);
    BOOST_TEST(!query.subRequestAnswered(changed, START, test.actions).has_value());
    BOOST_TEST((query.dropped().*sample.count) == 1U);
    BOOST_TEST(query.dropped().total() == 1U);
    BOOST_TEST(query.progress().shardsAnswered == 0U);
    const std::vector<send_action> all = test.actions.sends;
    for (const send_action &sent : all) {
        test.answer(sent, START + milliseconds(1));
        test.answer(sent, START + milliseconds(2));
    }
    BOOST_REQUIRE(test.actions.finish.has_value());
    BOOST_TEST((test.actions.finish->status == query_status::complete));
    BOOST_TEST(test.actions.finish->covered.itemsSeen == 200U);
}

BOOST_DATA_TEST_CASE(answerPolicyDecidesWhenTheQueryEnds, END_CASES)
{
    query_options options;
    options.policy = sample.policy;
    options.minCoverage = sample.minCoverage;
    options.deadline = milliseconds(300);
    options.goodEnough = milliseconds(50);
    fixture test(4, 2, options, 0);
    query_execution &query = test.start();
    const std::vector<send_action> sends = test.actions.sends;
    time_point end = START + milliseconds(10);
    for (int shard = 0; shard < 4 && shard < sample.answeredBefore + sample.answeredLate; ++shard) {
        const time_point when = START + milliseconds(shard < sample.answeredBefore ? 10 : 120);
        while (query.nextTick() < when) {
            end = query.nextTick();
            query.tick(end, test.actions);
        }
        if (!query.ended()) {
            end = when;
            test.answer(sends[static_cast<std::size_t>(shard)], when);
        }
    }
    if (!query.ended()) {
        end = test.runOut();
    }
    BOOST_TEST((end - START).count() / 1000 == sample.endMs);
    BOOST_TEST((test.actions.finish->status == sample.status));
    BOOST_TEST((query.nextTick() == time_point::max()));
}

// Guards against hedges that take no token, that go to the replica already in use, or that leave the slower sub-request running.
BOOST_AUTO_TEST_CASE(hedgeGoesToAnotherReplicaAndTheSlowerOneIsCancelled)
{
    fixture withoutTokens(1, 2, {}, 0);
    withoutTokens.options.restarted = true; // First sub-requests of a restart earn no tokens.
    withoutTokens.start();
    withoutTokens.runOut();
    BOOST_TEST(withoutTokens.actions.sends.size() == 1U);
    fixture test(1, 2);
    query_execution &query = test.start();
    BOOST_TEST((query.nextTick() == START + HEDGE_DELAY));
    query.tick(START + HEDGE_DELAY, test.actions);
    BOOST_REQUIRE_EQUAL(test.actions.sends.size(), 2U);
    const send_action first = test.actions.sends[0];
    const send_action hedge = test.actions.sends[1];
    BOOST_TEST((hedge.extra && hedge.server != first.server));
    test.answer(hedge, START + milliseconds(25));
    BOOST_REQUIRE_EQUAL(test.actions.cancels.size(), 1U);
    BOOST_TEST((test.actions.cancels[0].sub == first.sub && test.actions.cancels[0].age == milliseconds(25)));
    test.answer(first, START + milliseconds(26));
    BOOST_TEST(query.dropped().cancelled == 1U);
    BOOST_TEST((test.actions.finish->status == query_status::complete));
}

// Guards against a denied permit that costs a token, stops the attempts for the shard, or is not reported as the reason why the shard is missing.
BOOST_AUTO_TEST_CASE(deniedPermitsAreRetriedWithoutTokens)
{
    fixture denied(1, 2, {}, 0);
    denied.start();
    time_point now = START;
    for (std::size_t next = 0; !denied.execution->ended();) {
        if (next < denied.actions.sends.size()) {
            BOOST_TEST(!denied.actions.sends[next].extra);
            denied.execution->permitDenied(denied.actions.sends[next++].sub, now, denied.actions);
            continue;
        }
        now = denied.execution->nextTick();
        denied.execution->tick(now, denied.actions);
    }
    BOOST_TEST((denied.actions.finish->covered.missing.at(0).reason == shard_failure::permit_denied));
    BOOST_TEST((now == START + denied.options.deadline));
    BOOST_TEST(denied.budget.tokens() == 0);
}

BOOST_AUTO_TEST_CASE(shardsWithoutReplicasAreMissingAndEmptySnapshotsComplete)
{
    fixture none(1, 0);
    none.start();
    BOOST_TEST((none.actions.finish->covered.missing.at(0).reason == shard_failure::no_replica));
    fixture empty(0, 1);
    empty.start();
    BOOST_TEST((empty.actions.finish->status == query_status::complete));
}

// Guards against a request that crashes all servers: on a busy machine the crash of the canary's server is reported only after the hedge delay, and the
// other shards must still be held back by then.
BOOST_AUTO_TEST_CASE(lateCanaryCrashReachesAtMostTwoServers)
{
    query_options options;
    options.canary = true;
    fixture query(12, 3, options);
    query_execution &execution = query.start();
    BOOST_REQUIRE(query.actions.sends.size() == 1U);
    execution.tick(START + HEDGE_DELAY, query.actions);
    execution.tick(START + 2 * HEDGE_DELAY, query.actions);
    BOOST_TEST(query.actions.sends.size() == 2U);
    for (const send_action &sent : std::vector<send_action>(query.actions.sends)) {
        BOOST_TEST(sent.shard.value() == 0U);
        execution.subRequestFailed(sent.sub, shard_failure::closed, START + 2 * HEDGE_DELAY, query.actions);
    }
    query.runOut();
    BOOST_TEST(query.actions.sends.size() == 2U);
}

// Guards against queries delayed by a slow canary server: the answer to the canary's hedge must release the other shards.
BOOST_AUTO_TEST_CASE(canaryHedgeAnswerReleasesOtherShards)
{
    query_options options;
    options.canary = true;
    fixture query(12, 3, options);
    query_execution &execution = query.start();
    execution.tick(START + HEDGE_DELAY, query.actions);
    BOOST_REQUIRE(query.actions.sends.size() == 2U);
    query.answer(query.actions.sends.back(), START + HEDGE_DELAY + milliseconds(3));
    execution.tick(START + HEDGE_DELAY + milliseconds(3), query.actions);
    BOOST_TEST(query.actions.sends.size() == 13U);
}

BOOST_AUTO_TEST_SUITE_END()
