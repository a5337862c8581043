#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/query_execution.h"
#include "policy/query_trace.h"

using namespace snipefall;
using std::chrono::milliseconds;

namespace {

constexpr time_point START{std::chrono::seconds(10)};
constexpr milliseconds HEDGE_DELAY{20};

/** Runs a query, with restarts, over shards of 100 items that are held by servers a and b or by none, and reports all events to one trace. */
class traced_query
{
public:
    explicit traced_query(std::uint32_t shards = 1) { begin("s1", shards); }

    /** Starts the query, or restarts it on another snapshot. */
    void begin(const std::string &snapshot, std::uint32_t shards = 1, std::uint32_t replicas = 2)
    {
        m_plan = std::make_shared<query_plan>();
        m_plan->snapshot = snapshot_id(snapshot);
        m_plan->servers = {backend_server_id("a"), backend_server_id("b")};
        std::vector<server_index> candidates;
        for (std::uint32_t replica = 0; replica < replicas; ++replica) {
            candidates.emplace_back(replica);
        }
        m_plan->shards.assign(shards, shard_plan{100, candidates});
        query_options options;
        options.number = query_number(++m_runs);
        options.hedges.delay = HEDGE_DELAY;
        options.hedges.maxOpenShare = 1;
        options.restarted = m_runs > 1;
        m_budget.countFirst(START, START, 1000);
        m_execution.emplace(m_plan, options, m_budget);
        trace.beginRun(m_plan);
        m_execution->start(now, m_actions);
        record();
    }

    void answer(std::size_t send, const std::string &snapshot)
    {
        const send_action sent = m_sent.at(send);
        const bool merged = m_execution->subRequestAnswered({sent.sub, sent.shard, snapshot_id(snapshot), 100, "r"}, now, m_actions).has_value();
        trace.answered(sent.sub, merged, now);
        record();
    }

    void fail(std::size_t send, shard_failure kind)
    {
        const send_action sent = m_sent.at(send);
        m_execution->subRequestFailed(sent.sub, kind, now, m_actions);
        trace.failed(sent.sub, kind, now);
        record();
    }

    void deny(std::size_t send)
    {
        const send_action sent = m_sent.at(send);
        trace.denied(sent.sub);
        m_execution->permitDenied(sent.sub, now, m_actions);
        record();
    }

    void tick(milliseconds after)
    {
        now = START + after;
        m_execution->tick(now, m_actions);
        record();
    }

    void runOut()
    {
        while (!m_execution->ended()) {
            now = m_execution->nextTick();
            m_execution->tick(now, m_actions);
            record();
        }
    }

    void restart(const std::string &snapshot)
    {
        m_actions.restartOnNewerSnapshot = true;
        m_execution->abandon(now, m_actions);
        record();
        begin(snapshot);
    }

    /**
     * Formats the trace of a query over shard 0 alone.
     *
     * Gives "kind server snapshot outcome sentMs-endedMs;" for each sub-request, and "missing reason" if the shard is missing.
     */
    std::string text() const
    {
        std::string result;
        for (const shard_trace &shard : trace.summary(100).shards) {
            for (const sub_request_trace &sub : shard.subRequests) {
                result += std::string(toString(sub.kind)) + " " + sub.server.str() + " " + sub.snapshot.str() + " " + std::string(outcomeName(sub)) + " "
                    + std::to_string((sub.sentAt - START).count() / 1000) + "-" + (sub.endedAt ? std::to_string((*sub.endedAt - START).count() / 1000) : "")
                    + ";";
            }
            result += shard.missing ? "missing " + std::string(toString(*shard.missing)) : "";
        }
        return result;
    }

    query_trace trace;
    time_point now = START;

private:
    void record()
    {
        trace.record(m_actions, now);
        if (!m_actions.finish && !m_actions.restartOnNewerSnapshot) {
            m_sent.insert(m_sent.end(), m_actions.sends.begin(), m_actions.sends.end());
        }
        m_actions.clear();
    }

    std::shared_ptr<query_plan> m_plan;
    extra_load_budget m_budget{{100, 100, 1000}};
    std::optional<query_execution> m_execution;
    query_actions m_actions;
    std::vector<send_action> m_sent;
    std::uint64_t m_runs = 0;
};

struct trace_case
{
    const char *name;
    void (*drive)(traced_query &);
    const char *expected;
};

std::ostream &operator<<(std::ostream &out, const trace_case &row)
{
    return out << row.name;
}

const trace_case TRACE_CASES[] = {
    {"running", [](traced_query &) {}, "first a s1 running 0-;"},
    {"first",
     [](traced_query &query) {
         query.now = START + milliseconds(3);
         query.answer(0, "s1");
     },
     "first a s1 answered 0-3;"},
    {"hedge wins",
     [](traced_query &query) {
         query.tick(HEDGE_DELAY);
         query.now = START + milliseconds(25);
         query.answer(1, "s1");
     },
     "first a s1 cancelled 0-25;hedge b s1 answered 20-25;"},
    {"first wins over the hedge",
     [](traced_query &query) {
         query.tick(HEDGE_DELAY);
         query.now = START + milliseconds(25);
         query.answer(0, "s1");
         query.answer(1, "s1");
     },
     "first a s1 answered 0-25;hedge b s1 cancelled 20-25;"},
    {"retry",
     [](traced_query &query) {
         query.now = START + milliseconds(2);
         query.fail(0, shard_failure::connect_failed);
         query.now = START + milliseconds(4);
         query.answer(1, "s1");
     },
     "first a s1 connect_failed 0-2;retry b s1 answered 2-4;"},
    {"answer of another snapshot",
     [](traced_query &query) {
         query.answer(0, "s9");
         query.answer(1, "s1");
     },
     "first a s1 invalid_answer 0-0;retry b s1 answered 0-0;"},
    {"restart",
     [](traced_query &query) {
         query.now = START + milliseconds(5);
         query.restart("s2");
         query.now = START + milliseconds(7);
         query.answer(1, "s2");
     },
     "first a s1 abandoned 0-5;restart a s2 answered 5-7;"},
    {"permit denied",
     [](traced_query &query) {
         query.deny(0);
         query.answer(1, "s1");
     },
     "first b s1 answered 0-0;"},
    {"both replicas fail permanently",
     [](traced_query &query) {
         query.fail(0, shard_failure::connect_failed);
         query.fail(1, shard_failure::draining);
     },
     "first a s1 connect_failed 0-0;retry b s1 draining 0-0;missing draining"},
    {"late",
     [](traced_query &query) {
         query.tick(HEDGE_DELAY);
         query.fail(0, shard_failure::shed);
         query.now = START + milliseconds(30);
         query.fail(1, shard_failure::draining);
         query.runOut();
     },
     "first a s1 shed 0-20;hedge b s1 draining 20-30;retry a s1 late 40-2000;missing late"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(query_trace_tests)

// Guards against a trace whose kinds, servers, times or outcomes differ from what the query did.
BOOST_DATA_TEST_CASE(traceMatchesTheQuery, TRACE_CASES)
{
    traced_query query;
    sample.drive(query);
    BOOST_TEST(query.text() == sample.expected);
}

// Guards against a trace without the shards that have no replica, since no sub-request refers to them.
BOOST_AUTO_TEST_CASE(shardsWithoutSubRequestsAreListed)
{
    traced_query query;
    query.restart("s2");
    query.begin("s3", 2, 0);
    const trace_summary summary = query.trace.summary(100);
    BOOST_REQUIRE_EQUAL(summary.shards.size(), 2U);
    BOOST_TEST(summary.shards[1].subRequests.empty());
    BOOST_TEST((summary.shards[1].missing == shard_failure::no_replica));
    BOOST_TEST(query.trace.restarts() == 2U);
}

// Guards against denied permits that fill the trace: a query may be denied a permit every few milliseconds until its deadline.
BOOST_AUTO_TEST_CASE(deniedPermitsAreOnlyCounted)
{
    traced_query query;
    query.deny(0);
    query.deny(1);
    BOOST_TEST(query.trace.denials() == 2U);
    BOOST_TEST(query.text().empty());
}

// Guards against traces of unbounded size, and against a limit that omits the missing and slow shards, which the trace is meant to explain.
BOOST_AUTO_TEST_CASE(summaryKeepsMissingAndSlowShards)
{
    traced_query query(6);
    // The first six sends are those of shards 0 to 5. Shard 4 is retried, shard 2 answers last, shard 5 stays without an answer.
    query.now = START + milliseconds(1);
    query.fail(4, shard_failure::draining);
    for (const std::size_t send : {0, 1, 3, 6}) {
        query.answer(send, "s1");
    }
    query.now = START + milliseconds(9);
    query.answer(2, "s1");
    query.fail(5, shard_failure::connect_failed);
    query.fail(7, shard_failure::connect_failed);
    const trace_summary all = query.trace.summary(100);
    BOOST_TEST(all.shards.size() == 6U);
    BOOST_TEST(all.omittedShards == 0U);
    const trace_summary some = query.trace.summary(5);
    std::vector<std::uint32_t> kept;
    std::size_t entries = 0;
    for (const shard_trace &shard : some.shards) {
        kept.push_back(shard.shard.value());
        entries += shard.subRequests.size();
    }
    BOOST_TEST(kept == (std::vector<std::uint32_t>{2, 4, 5}), boost::test_tools::per_element());
    BOOST_TEST(entries <= 5U);
    BOOST_TEST(some.omittedShards == 3U);
    std::size_t total = 0;
    for (const shard_trace &shard : all.shards) {
        total += shard.subRequests.size();
    }
    BOOST_TEST(some.omittedSubRequests + entries == total);
}

BOOST_AUTO_TEST_SUITE_END()
