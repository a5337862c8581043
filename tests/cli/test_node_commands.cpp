#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/cli/fake_node.h"
#include "tests/cli/program_run.h"

using namespace snipefall;

namespace {

constexpr const char *CONFIG = R"({"version":7,"digest":"d","document":{"services":{"svc":{"version":"v1"}}}})";
constexpr const char *PATCHES = "POST /v1/config/patches";
constexpr const char *MOVE = "/v1/moves/svc";

http_response respond(int status, const std::string &body)
{
    http_response response;
    response.status = status;
    response.body = body;
    return response;
}

http_response loseAnswer()
{
    http_response response;
    response.closeWithoutResponse = true;
    return response;
}

http_response refusal(int status, const std::string &code, const std::string &message)
{
    return respond(status, json{{"error", {{"code", code}, {"message", message}, {"ran", "not_run"}}}}.dump());
}

struct state_and_share
{
    std::string state;
    unsigned share;
};

http_response move(const std::string &outcome, const std::vector<state_and_share> &steps)
{
    json list = json::array();
    for (std::size_t i = 0; i < steps.size(); ++i) {
        list.push_back({{"state", steps[i].state}, {"share_percent", steps[i].share}, {"started_ms", 1000 + i * 1500}});
    }
    return respond(200,
                   json{{"move_id", "m1"},
                        {"service", "svc"},
                        {"from", "v1"},
                        {"to", "v2"},
                        {"state", steps.back().state},
                        {"share_percent", steps.back().share},
                        {"started_ms", 1000},
                        {"reason", "release 2"},
                        {"steps", list},
                        {"outcome", outcome}}
                       .dump());
}

struct node_case
{
    const char *name;
    std::vector<std::string> arguments;
    std::string route;
    std::vector<http_response> responses;
    int exitCode;
    std::vector<std::string> texts;
};

std::ostream &operator<<(std::ostream &out, const node_case &row)
{
    return out << row.name;
}

const std::vector<std::string> OUT = {"domain", "out", "domain-a", "--reason", "r", "--patch-id", "p1"};
const std::vector<std::string> START = {"move", "start", "svc", "v2", "--deadline-s", "60", "--reason", "r", "--move-id", "m1"};
const std::vector<std::string> STATUS = {"move", "status", "svc"};
const std::vector<std::string> WAIT = {"move", "status", "svc", "--wait", "--timeout-ms", "700"};
const std::vector<std::string> ROLLBACK = {"move", "rollback", "svc", "--reason", "r"};
const std::string GET_MOVE = std::string("GET ") + MOVE;
const std::string POST_MOVE = std::string("POST ") + MOVE;

const node_case NODE_CASES[] = {
    {"applied", OUT, PATCHES, {respond(200, R"({"result":"applied","message":"applied as version 8","version":8})")}, 0, {"against version 7", "version 8"}},
    {"refused", OUT, PATCHES, {respond(409, R"({"result":"refused","message":"version 8 exists"})")}, 4, {"status 409: version 8 exists"}},
    {"invalid",
     OUT,
     PATCHES,
     {respond(400, R"({"result":"invalid","message":"m","invalid_fields":[{"path":"/a","value":1,"allowed":"x"},{"path":"/b","value":"","allowed":"y"}]})")},
     4,
     {"/a: 1 is not allowed; allowed: x", "/b: \"\" is not allowed; allowed: y"}},
    {"unknown", OUT, PATCHES, {respond(503, R"({"result":"unknown","message":"lost"})")}, 5, {"status 503: lost"}},
    {"answer lost", OUT, PATCHES, {loseAnswer()}, 5, {"repeat the command with --patch-id p1"}},
    {"platform down", OUT, PATCHES, {respond(503, R"({"result":"unavailable","message":"down"})")}, 1, {"status 503: down"}},
    {"no token", OUT, PATCHES, {refusal(401, "permission_denied", "a valid bearer token is required")}, 1, {"bearer token"}},
    {"may only read", OUT, PATCHES, {refusal(403, "permission_denied", "may only read")}, 4, {"may only read"}},
    {"no JSON", OUT, PATCHES, {respond(200, "<html>")}, 1, {"status 200 and no JSON"}},
    {"services", {"service"}, "GET /", {}, 0, {"SERVICE", "svc", "v1", "wait_for_coverage"}},
    {"configuration", {"config", "show"}, "GET /", {}, 0, {"version 7", "services"}},
    {"move started", START, POST_MOVE, {move("running", {{"canary", 5}})}, 0, {"move m1 of svc from v1 to v2: canary at 5%"}},
    {"other move runs", START, POST_MOVE, {refusal(409, "conflict", "move m0 is not yet final")}, 4, {"m0 is not yet final"}},
    {"invalid move", START, POST_MOVE, {refusal(400, "invalid_argument", "to: must differ")}, 4, {"to: must differ"}},
    {"move unknown", START, POST_MOVE, {refusal(503, "unknown_result", "lost")}, 5, {"repeat the command with --move-id m1"}},
    {"start's answer lost", START, POST_MOVE, {loseAnswer()}, 5, {"repeat the command with --move-id m1"}},
    {"move not sent", START, POST_MOVE, {refusal(503, "unavailable", "down")}, 1, {"status 503: down"}},
    {"rolled back by hand", ROLLBACK, POST_MOVE + "/rollback", {move("rolled_back", {{"canary", 5}, {"rolled_back", 0}})}, 0, {"rolled_back at 0%"}},
    {"rollback of a final move", ROLLBACK, POST_MOVE + "/rollback", {refusal(409, "conflict", "move m1 is final")}, 4, {"is final"}},
    {"done", STATUS, GET_MOVE, {move("done", {{"canary", 5}, {"growing", 100}, {"done", 100}})}, 0, {"1.5 s  growing", "outcome: done"}},
    {"rolled back", STATUS, GET_MOVE, {move("rolled_back", {{"canary", 5}, {"rolled_back", 0}})}, 1, {"outcome: rolled_back", "reason: release 2"}},
    {"running", STATUS, GET_MOVE, {move("running", {{"canary", 5}})}, 5, {"outcome: running"}},
    {"not yet known", STATUS, GET_MOVE, {move("not_yet_known", {{"canary", 5}})}, 5, {"outcome: not_yet_known"}},
    {"no move", STATUS, "GET /", {}, 5, {"status 404"}},
    {"waits for done",
     WAIT,
     GET_MOVE,
     {move("running", {{"canary", 5}}),
      loseAnswer(),
      move("running", {{"canary", 5}, {"growing", 25}}),
      move("done", {{"canary", 5}, {"growing", 25}, {"done", 100}})},
     0,
     {"canary       5%", "growing      25%", "done         100%"}},
    {"waits for the rollback",
     WAIT,
     GET_MOVE,
     {move("running", {{"canary", 5}}), move("rolled_back", {{"canary", 5}, {"rolled_back", 0}})},
     1,
     {"rolled_back  0%"}},
    {"waits in vain", WAIT, GET_MOVE, {move("running", {{"canary", 5}}), move("not_yet_known", {{"canary", 5}})}, 5, {"outcome: not_yet_known"}},
    {"waits for a node that is gone", WAIT, GET_MOVE, {refusal(503, "unavailable", "stopping")}, 1, {"stopping"}},
};

} // namespace

BOOST_AUTO_TEST_SUITE(node_command_tests)

// Guards the exit codes that scripts rely on: a lost response must not be reported as success or as refusal.
BOOST_DATA_TEST_CASE(exitCodeMatchesResponse, NODE_CASES)
{
    fake_node node;
    node.addResponse("GET /v1/config", respond(200, CONFIG));
    for (const http_response &response : sample.responses) {
        node.addResponse(sample.route, response);
    }
    BOOST_REQUIRE(node.start().empty());
    std::vector<std::string> arguments = sample.arguments;
    arguments.insert(arguments.end(), {"--node", node.address()});
    const program_run run("snipefall", arguments);
    BOOST_TEST(run.exitCode == sample.exitCode, "exit code " << run.exitCode << ":\n" << run.output);
    for (const std::string &text : sample.texts) {
        BOOST_TEST(run.contains(text), "\"" << text << "\" is missing in:\n" << run.output);
    }
}

// Guards the request bodies: a patch is based on the version shown in the diff, and a write is sent only once, also when its response is lost.
BOOST_AUTO_TEST_CASE(patchAndMoveAreSentOnceWithTheirArguments)
{
    fake_node node;
    node.addResponse("GET /v1/config", respond(200, CONFIG));
    node.addResponse(PATCHES, loseAnswer());
    node.addResponse(POST_MOVE, loseAnswer());
    BOOST_REQUIRE(node.start().empty());
    for (std::vector<std::string> arguments : {OUT, START}) {
        arguments.insert(arguments.end(), {"--node", node.address()});
        BOOST_TEST(program_run("snipefall", arguments).exitCode == 5);
    }
    const std::vector<json> patches = node.received(PATCHES);
    BOOST_REQUIRE(patches.size() == 1U);
    BOOST_TEST(patches[0].value("base_version", 0) == 7);
    BOOST_TEST(patches[0].value("patch_id", "") == "p1");
    BOOST_TEST(patches[0].value("merge", json()).dump() == R"({"domains_out":{"domain-a":true}})");
    const std::vector<json> moves = node.received(POST_MOVE);
    BOOST_REQUIRE(moves.size() == 1U);
    BOOST_TEST(moves[0].value("move_id", "") == "m1");
    BOOST_TEST(moves[0].value("deadline_in_ms", 0) == 60000);
    BOOST_TEST(moves[0].value("observation_ms", 0) == 60000);
    BOOST_TEST(moves[0].value("first_share_percent", 0) == 5);
}

// Guards against a dry run that submits its patch, and against an unreachable node that is reported as a refusal.
BOOST_AUTO_TEST_CASE(dryRunSendsNothingAndUnreachableNodeIsReported)
{
    fake_node node;
    node.addResponse("GET /v1/config", respond(200, CONFIG));
    BOOST_REQUIRE(node.start().empty());
    const program_run dry("snipefall", {"domain", "out", "domain-a", "--reason", "r", "--dry-run", "--node", node.address()});
    BOOST_TEST(dry.exitCode == 0);
    BOOST_TEST(dry.contains("+ /domains_out"));
    BOOST_TEST(node.received(PATCHES).empty());
    const std::string nobody = "127.0.0.1:" + std::to_string(freePort());
    BOOST_TEST(program_run("snipefall", {"status", "--node", nobody}).exitCode == 3);
    BOOST_TEST(program_run("snipefall", {"move", "status", "svc", "--node", nobody}).exitCode == 3);
}

BOOST_AUTO_TEST_SUITE_END()
