#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "node/status_parser.h"

using namespace snipefall;

namespace {

struct status_case
{
    const char *name;
    std::string patch; ///< JSON merge patch that is applied to a valid document.
    bool valid;
};

std::ostream &operator<<(std::ostream &out, const status_case &row)
{
    return out << row.name;
}

const char *const VALID = R"({"server":"b1","service":"svc","version":"v2","started_ms":5,"state":"serving",
    "snapshots":[{"id":"s1","shards_total":3,"items_per_shard":[1,0,18446744073709551615],"shards":[0,2]}]})";

std::string snapshots(const std::string &entry)
{
    return R"({"snapshots":[)" + entry + "]}";
}

const status_case STATUS_CASES[] = {
    {"as it is", "{}", true},
    {"unknown members", R"({"load":0.5,"health":{"ok":true}})", true},
    {"no snapshots", R"({"snapshots":[]})", true},
    {"snapshots missing", R"({"snapshots":null})", true},
    {"no held shards", snapshots(R"({"id":"s1","shards_total":1,"items_per_shard":[1],"shards":[]})"), true},
    {"other server", R"({"server":"b2"})", false},
    {"other service", R"({"service":"other"})", false},
    {"server missing", R"({"server":null})", false},
    {"server of another type", R"({"server":1})", false},
    {"no object", "[]", false},
    {"text", R"("serving")", false},
    {"snapshots of another type", R"({"snapshots":{"id":"s1"}})", false},
    {"a snapshot is a number", snapshots("1"), false},
    {"a snapshot is null", snapshots("null"), false},
    {"a snapshot is a list", snapshots("[]"), false},
    {"no id", snapshots(R"({"shards_total":1,"items_per_shard":[1],"shards":[0]})"), false},
    {"id of another type", snapshots(R"({"id":1,"shards_total":1,"items_per_shard":[1],"shards":[0]})"), false},
    {"zero shards", snapshots(R"({"id":"s1","shards_total":0,"items_per_shard":[],"shards":[]})"), false},
    {"negative shards", snapshots(R"({"id":"s1","shards_total":-1,"items_per_shard":[1],"shards":[]})"), false},
    {"fewer counts than shards", snapshots(R"({"id":"s1","shards_total":2,"items_per_shard":[1],"shards":[0]})"), false},
    {"more counts than shards", snapshots(R"({"id":"s1","shards_total":1,"items_per_shard":[1,1],"shards":[0]})"), false},
    {"negative count", snapshots(R"({"id":"s1","shards_total":1,"items_per_shard":[-1],"shards":[0]})"), false},
    {"fraction as a count", snapshots(R"({"id":"s1","shards_total":1,"items_per_shard":[1.5],"shards":[0]})"), false},
    {"count is null", snapshots(R"({"id":"s1","shards_total":1,"items_per_shard":[null],"shards":[0]})"), false},
    {"counts of another type", snapshots(R"({"id":"s1","shards_total":1,"items_per_shard":7,"shards":[0]})"), false},
    {"held shard outside", snapshots(R"({"id":"s1","shards_total":1,"items_per_shard":[1],"shards":[1]})"), false},
    {"held shard outside of 32 bits", snapshots(R"({"id":"s1","shards_total":1,"items_per_shard":[1],"shards":[4294967296]})"), false},
    {"held shard negative", snapshots(R"({"id":"s1","shards_total":1,"items_per_shard":[1],"shards":[-1]})"), false},
    {"held shards of another type", snapshots(R"({"id":"s1","shards_total":1,"items_per_shard":[1],"shards":"0"})"), false},
    {"the second snapshot is malformed",
     snapshots(R"({"id":"s1","shards_total":1,"items_per_shard":[1],"shards":[0]},{"id":"s2","shards_total":1,"items_per_shard":[],"shards":[0]})"),
     false},
};

backend_server listedServer()
{
    backend_server server;
    server.id = backend_server_id("b1");
    server.service = service_id("svc");
    server.version = version_id("v1");
    server.address = "127.0.0.1:1";
    return server;
}

} // namespace

BOOST_AUTO_TEST_SUITE(status_parser_tests)

// Guards against wrong coverage totals and crashes: a malformed document must neither yield a shard map nor throw an exception.
BOOST_DATA_TEST_CASE(refusesMalformedDocuments, STATUS_CASES)
{
    json document = json::parse(VALID);
    document.merge_patch(json::parse(sample.patch));
    std::optional<outcome<backend_server>> parsed;
    BOOST_CHECK_NO_THROW(parsed.emplace(parseStatus(document, listedServer())));
    BOOST_REQUIRE(parsed);
    BOOST_TEST(parsed->hasValue() == sample.valid);
    if (!*parsed) {
        BOOST_TEST((parsed->reason().code == error_code::invalid_argument));
    }
}

// Guards against wrong values read from the document, and against a status "serving" that overrides the VM list's mark that the server is leaving.
BOOST_AUTO_TEST_CASE(readsValidDocument)
{
    backend_server listed = listedServer();
    listed.leaving = true;
    const outcome<backend_server> server = parseStatus(json::parse(VALID), listed);
    BOOST_REQUIRE(server);
    BOOST_TEST(server->leaving);
    BOOST_TEST(server->version.str() == "v2");
    BOOST_TEST(server->startedMs == 5U);
    BOOST_TEST(server->address == "127.0.0.1:1");
    const snapshot_shards &shards = server->snapshots.at(snapshot_id("s1"));
    BOOST_TEST((shards.held == std::set<shard_index>{shard_index(0), shard_index(2)}));
    BOOST_TEST(shards.itemsPerShard.at(2) == std::numeric_limits<std::uint64_t>::max());
    for (const auto &[state, leaving] : {std::pair("serving", false), std::pair("draining", true), std::pair("leaving", true), std::pair("", false)}) {
        json document = json::parse(VALID);
        document["state"] = state;
        BOOST_TEST(parseStatus(document, listedServer())->leaving == leaving);
    }
}

BOOST_AUTO_TEST_SUITE_END()
