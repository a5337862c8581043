#include <boost/test/unit_test.hpp>

#include "node/configuration_messages.h"
#include "node/status_parser.h"
#include "node/sub_answer_parser.h"
#include "policy/move_messages.h"
#include "tests/parser_properties.h"

using namespace snipefall;

namespace {

constexpr std::string_view SUB_NAME = "node-1-7";

const json STATUS = json::parse(R"({"server": "b1", "service": "desk", "version": "v2", "started_ms": 5, "state": "serving", "snapshots": [
    {"id": "s1", "shards_total": 3, "items_per_shard": [1, 0, 18446744073709551615], "shards": [0, 2]},
    {"id": "s2", "shards_total": 1, "items_per_shard": [7], "shards": []}]})");
const json SUB_ANSWER = json::parse(R"({"sub_id": "node-1-7", "snapshot": "s1", "shard": 3, "items_seen": 100, "results": [{"a": "]}\"\\"}, [1, 2], "x"]})");
const json OBSERVATIONS = json::parse(R"({"move_id": "m1", "share_percent": 5,
    "step": {"*": {"old": {"answers": 9, "errors": 1, "latency": {"3": 4, "67": 4}}, "new": {"answers": 2, "errors": 0, "latency": {"0": 2}}}},
    "recent": {"query": {"old": {"answers": 1, "errors": 1, "latency": {}}, "new": {"answers": 0, "errors": 0, "latency": {}}}}})");
const json BAD_VERSION = json::parse(R"({"service": "desk", "version": "v2", "move_id": "m1", "reason": "errors"})");
const json DELTA = json::parse(R"({"patches": [{"patch_id": "p1", "base_version": 3, "author": "ana", "reason": "test", "merge": {"a": 1}, "submitted_ms": 5}],
    "snapshot": {"version": 3, "document": {"entry_ttl_ms": 500}, "digest": "00ff"}})");

backend_server listedServer()
{
    backend_server server;
    server.id = backend_server_id("b1");
    server.service = service_id("desk");
    server.version = version_id("v1");
    return server;
}

outcome<backend_server> readStatus(const std::string &text)
{
    const outcome<json> document = parseJson(text);
    return document ? parseStatus(*document, listedServer()) : document.reason();
}

std::string writeStatus(const backend_server &server)
{
    json snapshots = json::array();
    for (const auto &[id, shards] : server.snapshots) {
        json shardIndexes = json::array();
        for (const shard_index shard : shards.held) {
            shardIndexes.push_back(shard.value());
        }
        snapshots.push_back(
            {{"id", id.str()}, {"shards_total", shards.itemsPerShard.size()}, {"items_per_shard", shards.itemsPerShard}, {"shards", shardIndexes}});
    }
    return json{{"server", server.id.str()},
                {"service", server.service.str()},
                {"version", server.version.str()},
                {"started_ms", server.startedMs},
                {"state", server.leaving ? "leaving" : "serving"},
                {"snapshots", snapshots}}
        .dump();
}

outcome<sub_answer> classifySubAnswer(const std::string &text)
{
    const auto answer = parseSubAnswer(text, sub_request_id(7), SUB_NAME);
    return answer ? outcome<sub_answer>(*answer) : failure{error_code::invalid_argument, "no answer"};
}

std::string writeSubAnswer(const sub_answer &answer)
{
    return R"({"sub_id":"node-1-7","snapshot":)" + json(answer.snapshot.str()).dump() + R"(,"shard":)" + std::to_string(answer.shard.value())
        + R"(,"items_seen":)" + std::to_string(answer.itemsSeen) + R"(,"results":)" + answer.results + "}";
}

bool sameSubAnswer(const sub_answer &a, const sub_answer &b)
{
    return a.sub == b.sub && a.shard == b.shard && a.snapshot == b.snapshot && a.itemsSeen == b.itemsSeen && a.results == b.results;
}

bool sameObservations(const move_observations &a, const move_observations &b)
{
    return a.moveId == b.moveId && a.sharePercent == b.sharePercent && a.step == b.step && a.recent == b.recent;
}

bool sameDelta(const configuration_delta &a, const configuration_delta &b)
{
    return a.patches == b.patches && a.snapshot == b.snapshot;
}

} // namespace

BOOST_AUTO_TEST_SUITE(parser_properties)

// Guards against a status of a backend server that crashes the node, or that yields a shard map which the parser would reject.
BOOST_AUTO_TEST_CASE(statusRoundTrip)
{
    checkParser("a status reads back as written", STATUS, readStatus, writeStatus, std::equal_to<>());
}

// Guards against a response of a backend server that crashes the node, and against results that give invalid JSON when they are concatenated with those of
// other shards.
BOOST_AUTO_TEST_CASE(subAnswerRoundTrip)
{
    checkParser("a sub-answer reads back as written", SUB_ANSWER, classifySubAnswer, writeSubAnswer, sameSubAnswer);
}

// Guards against observations of a peer that crash the node, or whose totals differ from the sum of their buckets.
BOOST_AUTO_TEST_CASE(observations)
{
    checkParser("observations read back as written", OBSERVATIONS, decodeObservations, encodeObservations, sameObservations);
}

// Guards against a fact of a peer that crashes the node, or that names another version after re-encoding.
BOOST_AUTO_TEST_CASE(badVersionRoundTrip)
{
    checkParser("a bad version reads back as written", BAD_VERSION, decodeBadVersion, encodeBadVersion, std::equal_to<>());
}

// Guards against a delta of a peer that crashes the node, or that changes when the node re-encodes it for the next peer.
BOOST_AUTO_TEST_CASE(deltaRoundTrip)
{
    checkParser("a delta reads back as written", DELTA, decodeDelta, encodeDelta, sameDelta);
}

// Guards against a crash of the node when a message to the peers contains a caller's route that was truncated to its maximum length within a UTF-8 character.
BOOST_AUTO_TEST_CASE(messagesWithInvalidUtf8CanBeDecoded)
{
    useFixedSeed();
    const bool holds = rc::check("messages with arbitrary bytes can be read", [] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        const move_observations sample{bytes, 5, {{bytes, {}}}, {{bytes, {}}}};
        RC_ASSERT(decodeObservations(encodeObservations(sample)).hasValue());
        RC_ASSERT(decodeBadVersion(encodeBadVersion({service_id("desk"), version_id("v1"), "m1", bytes})).hasValue());
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
