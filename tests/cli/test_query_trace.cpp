#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "cli/trace_renderer.h"
#include "tests/cli/fake_node.h"
#include "tests/cli/program_run.h"

using namespace snipefall;

namespace {

constexpr const char *QUERY = "POST /v1/services/svc/query";
constexpr const char *TRACE = R"({"node":"node-1","forwarded_by":"node-2","version":"v1","version_reason":"move_remainder","admission_wait_ms":1.5,
"ended_ms":100.0,"restarts":1,"slots_denied":3,"omitted_shards":2,"omitted_sub_requests":4,"shards":[
{"shard":0,"missing":null,"sub_requests":[
 {"server":"a","kind":"first","snapshot":"s1","sent_ms":0.0,"ended_ms":50.0,"outcome":"cancelled"},
 {"server":"b","kind":"hedge","snapshot":"s1","sent_ms":25.0,"ended_ms":50.0,"outcome":"answered"}]},
{"shard":3,"missing":"late","sub_requests":[{"server":"a","kind":"retry","snapshot":"s1","sent_ms":10.0,"ended_ms":null,"outcome":"running"}]},
{"shard":7,"missing":"no_replica","sub_requests":[]}]})";

http_response respond(int status, const json &body)
{
    http_response response;
    response.status = status;
    response.body = body.dump();
    return response;
}

json answerWithTrace()
{
    return {{"service", "svc"}, {"version", "v1"}, {"coverage", json::object()}, {"results", json::array()}, {"trace", json::parse(TRACE)}};
}

json refusalWithTrace()
{
    return {{"error", {{"code", "deadline_exceeded"}, {"message", "too little"}, {"ran", "ran"}}}, {"trace", json::parse(TRACE)}};
}

struct trace_command_case
{
    const char *name;
    std::vector<std::string> arguments;
    int status;
    json body;
    bool asked; ///< Whether the command requests a trace from the node.
    int exitCode;
    std::vector<std::string> texts;
    std::vector<std::string> absent;
};

std::ostream &operator<<(std::ostream &out, const trace_command_case &row)
{
    return out << row.name;
}

const trace_command_case COMMAND_CASES[] = {
    {"table",
     {"--trace"},
     200,
     answerWithTrace(),
     true,
     0,
     {"served by node node-1, forwarded by node-2", "hedge", "timeline of 3 of 3 shards"},
     {"\"trace\""}},
    {"refusal", {"--trace"}, 504, refusalWithTrace(), true, 1, {"status 504: too little", "OUTCOME", "no_replica"}, {}},
    {"json", {"--trace", "--output", "json"}, 200, answerWithTrace(), true, 0, {"\"admission_wait_ms\"", "\"hedge\""}, {"timeline", "OUTCOME"}},
    {"not asked for", {}, 200, {{"results", json::array()}}, false, 0, {"results: 0"}, {"OUTCOME"}},
};

} // namespace

BOOST_AUTO_TEST_SUITE(query_trace_command_tests)

// Guards against a trace that is requested without --trace, dropped from an error response, or mixed into the JSON output.
BOOST_DATA_TEST_CASE(traceIsShownWhenRequested, COMMAND_CASES)
{
    fake_node node;
    node.addResponse(QUERY, respond(sample.status, sample.body));
    BOOST_REQUIRE(node.start().empty());
    std::vector<std::string> arguments = {"query", "svc", "{}", "--caller-address", node.address()};
    arguments.insert(arguments.end(), sample.arguments.begin(), sample.arguments.end());
    const program_run run("snipefall", arguments);
    BOOST_TEST(run.exitCode == sample.exitCode, "exit code " << run.exitCode << ":\n" << run.output);
    for (const std::string &text : sample.texts) {
        BOOST_TEST(run.contains(text), "\"" << text << "\" is missing in:\n" << run.output);
    }
    for (const std::string &text : sample.absent) {
        BOOST_TEST(!run.contains(text), "\"" << text << "\" is in:\n" << run.output);
    }
    const std::vector<json> received = node.received(QUERY);
    BOOST_REQUIRE_EQUAL(received.size(), 1U);
    BOOST_TEST(received[0].value("trace", false) == sample.asked);
}

// Guards against rows that name the wrong shard, and against missing shards that have no row.
BOOST_AUTO_TEST_CASE(eachSubRequestHasARow)
{
    const std::vector<std::vector<std::string>> rows = renderTraceRows(json::parse(TRACE));
    BOOST_REQUIRE_EQUAL(rows.size(), 5U);
    BOOST_TEST(rows[1] == (std::vector<std::string>{"0", "first", "a", "s1", "0.0", "50.0", "cancelled", ""}), boost::test_tools::per_element());
    BOOST_TEST(rows[3] == (std::vector<std::string>{"3", "retry", "a", "s1", "10.0", "-", "running", "late"}), boost::test_tools::per_element());
    BOOST_TEST(rows[4] == (std::vector<std::string>{"7", "-", "-", "-", "-", "-", "-", "no_replica"}), boost::test_tools::per_element());
}

// Guards against bars of the wrong length or order: missing shards come first, and a hedge is drawn over the sub-request that it duplicates.
BOOST_AUTO_TEST_CASE(timelineBarsHaveCorrectOrderAndLength)
{
    const std::vector<std::string> lines = renderTraceTimeline(json::parse(TRACE));
    BOOST_REQUIRE_EQUAL(lines.size(), 4U);
    BOOST_TEST(lines[1] == "     3 |" + std::string(6, ' ') + std::string(54, 'r') + "| missing: late");
    BOOST_TEST(lines[2] == "     7 |" + std::string(60, ' ') + "| missing: no_replica");
    BOOST_TEST(lines[3] == "     0 |" + std::string(15, '=') + std::string(16, 'h') + std::string(29, ' ') + "|");
}

// Guards against a crash or an unbounded bar on an incomplete trace, as a node of another release may send it.
BOOST_AUTO_TEST_CASE(incompleteTracesAreRendered)
{
    for (const char *text : {"{}", "null", "[]", R"({"shards":[{}]})", R"({"shards":[{"sub_requests":[{"sent_ms":9,"ended_ms":1}]}],"ended_ms":5})"}) {
        const json trace = json::parse(text);
        BOOST_TEST(!renderTraceSummary(trace).empty());
        BOOST_TEST(!renderTraceRows(trace).empty());
        BOOST_TEST(renderTraceTimeline(trace).size() <= 2U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
