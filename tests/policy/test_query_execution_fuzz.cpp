#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <unordered_map>
#include <unordered_set>

#include <boost/test/unit_test.hpp>

#include "policy/query_execution.h"
#include "tests/policy/send_log.h"

using namespace snipefall;

namespace {

constexpr std::uint64_t SEEDS = 400;
constexpr std::uint64_t MAX_EVENTS = 200'000;
constexpr std::uint32_t SERVERS = 6;
constexpr auto FIRST_FAILURE = static_cast<std::uint64_t>(shard_failure::connect_failed);
constexpr auto FAILURE_KINDS = static_cast<std::uint64_t>(shard_failure::deadline) - FIRST_FAILURE + 1;

/** An answer or failure that reaches a query at a given time. */
struct delivery
{
    time_point at;
    std::uint64_t order;
    std::size_t query;
    sub_answer answer;
    std::optional<shard_failure> failed;

    bool operator>(const delivery &other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
};

/** A query with a reference model, which tracks independently which answers must be merged and what the outcome must be. */
struct checked_query
{
    std::shared_ptr<query_plan> plan = std::make_shared<query_plan>();
    query_options options;
    std::unique_ptr<query_execution> execution;
    time_point startAt;
    bool started = false;
    std::unordered_map<sub_request_id, shard_index> active;
    std::unordered_set<sub_request_id> sent;
    std::size_t expectedCancels = 0; ///< Number of sub-requests that the last event must cancel.
    std::vector<int> sends;
    std::vector<std::optional<std::string>> results;
    std::uint64_t itemsSeen = 0;
    std::uint32_t drops = 0;

    bool mustMerge(const sub_answer &answer)
    {
        const auto found = active.find(answer.sub);
        const bool valid = found != active.end() && found->second == answer.shard && answer.snapshot == plan->snapshot
            && answer.itemsSeen <= plan->shards[answer.shard.value()].items;
        active.erase(answer.sub);
        drops += valid ? 0 : 1;
        if (valid) {
            results[answer.shard.value()] = answer.results;
            itemsSeen += answer.itemsSeen;
            expectedCancels = std::erase_if(active, [&](const auto &sub) { return sub.second == answer.shard; });
        }
        return valid;
    }

    void checkOutcome(const query_outcome &outcome) const
    {
        const coverage &covered = outcome.covered;
        std::uint64_t items = 0;
        std::size_t missing = 0;
        for (std::uint32_t shard = 0; shard < results.size(); ++shard) {
            items += plan->shards[shard].items;
            BOOST_REQUIRE(results[shard] || covered.missing.at(missing++).shard.value() == shard);
        }
        BOOST_REQUIRE(outcome.results == results && covered.missing.size() == missing);
        BOOST_REQUIRE(covered.shardsTotal == results.size() && covered.shardsAnswered == results.size() - missing);
        BOOST_REQUIRE(covered.itemsTotal == items && covered.itemsSeen == itemsSeen);
        BOOST_REQUIRE((outcome.status == query_status::complete) == (missing == 0 && itemsSeen == items));
        BOOST_REQUIRE(outcome.status != query_status::partial || covered.itemShare() >= options.minCoverage);
    }
};

/** Simulates, in virtual time, queries that share a budget and are sent to faulty backend servers. All random choices follow from the seed. */
class query_simulation
{
public:
    explicit query_simulation(std::uint64_t seed)
        : m_random(seed)
        , m_budget({static_cast<std::int64_t>(5 + seed % 3 * 20), 10, 100})
        , m_faultPercent(5 + 15 * (seed % 5))
        , m_queries(12)
    {
        time_point startAt(std::chrono::seconds(3));
        for (std::size_t index = 0; index < m_queries.size(); ++index) {
            prepare(m_queries[index], index + 1);
            m_queries[index].startAt = startAt;
            startAt += std::chrono::milliseconds(below(300));
        }
    }

    void run()
    {
        for (std::uint64_t events = 0;; ++events) {
            BOOST_REQUIRE_LT(events, MAX_EVENTS);
            const auto due = [](const checked_query &query) { return query.started ? query.execution->nextTick() : query.startAt; };
            checked_query &query =
                *std::min_element(m_queries.begin(), m_queries.end(), [&](const auto &left, const auto &right) { return due(left) < due(right); });
            const time_point now = due(query);
            m_actions.clear();
            if (!m_deliveries.empty() && m_deliveries.top().at <= now) {
                const delivery next = m_deliveries.top();
                m_deliveries.pop();
                deliver(next);
                continue;
            }
            if (now == time_point::max()) {
                return;
            }
            query.started ? query.execution->tick(now, m_actions) : query.execution->start(now, m_actions);
            query.started = true;
            perform(query, now);
            BOOST_REQUIRE_MESSAGE(query.execution->nextTick() > now, "a tick must make progress");
        }
    }

    std::uint64_t merged = 0;
    std::uint64_t dropped = 0;
    std::uint64_t restarts = 0;
    send_log log;

private:
    std::uint64_t below(std::uint64_t bound) { return m_random() % bound; }
    bool chance(std::uint64_t percent) { return below(100) < percent; }

    void prepare(checked_query &query, std::uint64_t number)
    {
        query_options &options = query.options;
        options.number = query_number(number);
        options.policy = chance(50) ? answer_policy::wait_for_coverage : answer_policy::answer_in_time;
        options.minCoverage = static_cast<double>(below(5)) / 4;
        options.deadline = std::chrono::milliseconds(20 + below(800));
        options.goodEnough = options.deadline / (1 + below(4));
        options.restartsLeft = static_cast<std::uint32_t>(below(2));
        options.restarted = chance(10);
        options.hedges.delay = std::chrono::milliseconds(below(60));
        options.hedges.maxOpenShare = chance(50) ? 1 : 0.05;
        options.hedges.maxInFlight = static_cast<std::uint8_t>(1 + below(4));
        options.hedges.maxSends = static_cast<std::uint8_t>(1 + below(6));
        query.plan->snapshot = snapshot_id("s" + std::to_string(below(2)));
        query.plan->servers.assign(SERVERS, backend_server_id("server"));
        query.plan->shards.resize(1 + below(chance(20) ? 120 : 12));
        const auto replicas = static_cast<std::uint32_t>(1 + below(4));
        for (shard_plan &shard : query.plan->shards) {
            shard.items = below(50);
            const auto preferred = static_cast<std::uint32_t>(below(SERVERS));
            for (std::uint32_t replica = chance(3) ? replicas : 0; replica < replicas; ++replica) {
                shard.candidates.emplace_back((preferred + replica) % SERVERS);
            }
        }
        query.sends.resize(query.plan->shards.size());
        query.results.resize(query.plan->shards.size());
        query.execution = std::make_unique<query_execution>(query.plan, options, m_budget);
    }

    void scheduleDeliveries(std::size_t index, const send_action &sent, time_point now)
    {
        const query_plan &plan = *m_queries[index].plan;
        const std::uint64_t items = plan.shards[sent.shard.value()].items;
        delivery next{now + duration(500 + below(chance(20) ? 900'000 : 30'000)), m_nextOrder++, index, {}, std::nullopt};
        next.answer = {sent.sub, sent.shard, plan.snapshot, chance(80) ? items : below(items + 1), "result " + std::to_string(m_nextOrder)};
        const std::uint64_t fault = chance(m_faultPercent) ? below(8) : 8;
        if (fault == 0) {
            return; // The server never answers.
        } else if (fault == 1) {
            next.answer.snapshot = snapshot_id("s9");
        } else if (fault == 2) {
            next.answer.shard = shard_index(static_cast<std::uint32_t>(below(plan.shards.size() + 1)));
        } else if (fault == 3) {
            next.answer.itemsSeen = items + 1;
        } else if (fault == 4) {
            next.answer.sub = m_allSubs[below(m_allSubs.size())];
        } else if (fault == 5) {
            next.query = below(m_queries.size());
        } else if (fault < 8) {
            next.failed = static_cast<shard_failure>(FIRST_FAILURE + below(FAILURE_KINDS));
        }
        m_deliveries.push(next);
    }

    void deliver(const delivery &next)
    {
        checked_query &query = m_queries[next.query];
        if (!query.started) {
            return;
        }
        if (next.failed) {
            query.active.erase(next.answer.sub);
            query.execution->subRequestFailed(next.answer.sub, *next.failed, next.at, m_actions);
        } else {
            const bool expected = query.mustMerge(next.answer);
            BOOST_REQUIRE_EQUAL(query.execution->subRequestAnswered(next.answer, next.at, m_actions).has_value(), expected);
            BOOST_REQUIRE_EQUAL(query.execution->dropped().total(), query.drops);
            (expected ? merged : dropped) += 1;
        }
        perform(query, next.at);
    }

    void perform(checked_query &query, time_point now)
    {
        for (std::size_t index = 0; index < m_actions.sends.size(); ++index) {
            performSend(query, send_action(m_actions.sends[index]), now);
        }
        BOOST_REQUIRE(!m_actions.restartOnNewerSnapshot || query.options.restartsLeft > 0);
        restarts += m_actions.restartOnNewerSnapshot ? 1 : 0;
        if (m_actions.restartOnNewerSnapshot && !m_actions.finish && chance(50)) {
            query.execution->abandon(now, m_actions);
        }
        if (query.execution->ended()) {
            query.expectedCancels += query.active.size();
            query.active.clear();
        }
        BOOST_REQUIRE_EQUAL(m_actions.cancels.size(), query.expectedCancels);
        query.expectedCancels = 0;
        for (const cancel_action &cancelled : m_actions.cancels) {
            BOOST_REQUIRE(query.sent.contains(cancelled.sub) && !query.active.contains(cancelled.sub));
        }
        if (m_actions.finish) {
            BOOST_REQUIRE(now <= query.startAt + query.options.deadline);
            query.checkOutcome(*m_actions.finish);
        }
    }

    void performSend(checked_query &query, const send_action &sent, time_point now)
    {
        const auto &candidates = query.plan->shards[sent.shard.value()].candidates;
        BOOST_REQUIRE(query.sent.insert(sent.sub).second && !query.results[sent.shard.value()]);
        BOOST_REQUIRE(std::find(candidates.begin(), candidates.end(), sent.server) != candidates.end());
        BOOST_REQUIRE(now < sent.deadline && sent.deadline == query.startAt + query.options.deadline);
        if (chance(m_faultPercent / 3) && !query.execution->ended()) {
            query.execution->permitDenied(sent.sub, now, m_actions);
            return;
        }
        query.active.emplace(sent.sub, sent.shard);
        m_allSubs.push_back(sent.sub);
        const auto running = std::count_if(query.active.begin(), query.active.end(), [&](const auto &sub) { return sub.second == sent.shard; });
        BOOST_REQUIRE_LE(running, query.options.hedges.maxInFlight);
        BOOST_REQUIRE_LE(++query.sends[sent.shard.value()], query.options.hedges.maxSends);
        BOOST_REQUIRE_EQUAL(sent.extra, query.sends[sent.shard.value()] > 1);
        if (sent.extra) {
            log.extras.push_back(now);
            BOOST_REQUIRE(log.withinCap(now));
        } else if (!query.options.restarted) {
            log.firsts.emplace_back(now, 1);
        }
        const auto index = static_cast<std::size_t>(&query - m_queries.data());
        scheduleDeliveries(index, sent, now);
        // Some sub-requests get a second delivery: a duplicate answer, an answer to another sub-request, or a failure after the answer.
        if (chance(m_faultPercent)) {
            scheduleDeliveries(index, sent, now);
        }
    }

    std::mt19937_64 m_random;
    extra_load_budget m_budget;
    std::uint64_t m_faultPercent;
    std::vector<checked_query> m_queries;
    std::priority_queue<delivery, std::vector<delivery>, std::greater<>> m_deliveries;
    std::vector<sub_request_id> m_allSubs;
    query_actions m_actions;
    std::uint64_t m_nextOrder = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(query_execution_fuzz_tests)

// Guards the guarantees G1, G2 and G6 under concurrent faults: late, misdirected, duplicate and invalid answers, failures, servers that never answer, and
// denied permits. Coverage and results must equal those of the reference model, every query must end by its deadline, and the extra sub-requests actually sent
// must stay within the cap of 10% in every second.
BOOST_AUTO_TEST_CASE(outcomesMatchReferenceModel)
{
    std::uint64_t merged = 0;
    std::uint64_t dropped = 0;
    std::uint64_t extras = 0;
    std::uint64_t restarts = 0;
    for (std::uint64_t seed = 1; seed <= SEEDS; ++seed) {
        BOOST_TEST_INFO_SCOPE("seed " << seed);
        query_simulation simulation(seed);
        simulation.run();
        merged += simulation.merged;
        dropped += simulation.dropped;
        extras += simulation.log.extras.size();
        restarts += simulation.restarts;
    }
    BOOST_TEST_MESSAGE("merged " << merged << ", dropped " << dropped << ", extra " << extras << ", restarts " << restarts);
    // Ensures that the faults actually occurred.
    BOOST_TEST((merged > 20'000 && dropped > 10'000 && extras > 1'000 && restarts > 100));
}

BOOST_AUTO_TEST_SUITE_END()
