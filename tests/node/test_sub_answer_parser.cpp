#include <random>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/json.h"
#include "node/shared_interval.h"
#include "node/sub_answer_parser.h"

using namespace snipefall;

namespace {

constexpr std::string_view NAME = "node-1-7";
constexpr int MUTATED_TEXTS = 20'000;

/** Reference implementation that parses the text as a JSON document. */
std::optional<sub_answer> parseAsDocument(const std::string &text)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object() || jsonValue<std::string>(document, "sub_id", "") != NAME || !document.value("results", json::array()).is_array()) {
        return std::nullopt;
    }
    // A number beyond 32 bits is no valid shard; jsonValue() with a 32-bit type would truncate it.
    const auto shard = jsonValue<std::uint64_t>(document, "shard", UINT32_MAX);
    return sub_answer{sub_request_id(7),
                      shard_index(static_cast<std::uint32_t>(std::min<std::uint64_t>(shard, UINT32_MAX))),
                      snapshot_id(jsonValue<std::string>(document, "snapshot", "")),
                      jsonValue<std::uint64_t>(document, "items_seen", 0),
                      document.value("results", json::array()).dump()};
}

void checkSame(const std::string &text)
{
    const auto expected = parseAsDocument(text);
    const auto actual = parseSubAnswer(text, sub_request_id(7), NAME);
    BOOST_REQUIRE_MESSAGE(expected.has_value() == actual.has_value(), text);
    if (expected) {
        BOOST_REQUIRE_MESSAGE(expected->shard == actual->shard && expected->snapshot == actual->snapshot && expected->itemsSeen == actual->itemsSeen, text);
        BOOST_REQUIRE_MESSAGE(json::parse(expected->results) == json::parse(actual->results), text);
        // An empty array must be exactly "[]", because the results of all shards are concatenated without their brackets.
        BOOST_REQUIRE_MESSAGE((expected->results == "[]") == (actual->results == "[]"), text);
    }
}

const char *const TEXTS[] = {
    R"({"sub_id":"node-1-7","snapshot":"s1","shard":3,"items_seen":100,"results":[{"a":"]}\"\\"},[1,2],"x"]})",
    R"( { "results" : [ 1 , 2 ] , "shard" : 4294967297 , "items_seen" : 5 , "sub_id" : "node-1-7" , "snapshot" : "\u0073\n1" } )",
    R"({"sub_id":"node-1-7","results":[ ],"shard":-1,"items_seen":1e3,"snapshot":7})",
    R"({"sub_id":"node-1-7","results":{},"shard":1})",
    R"({"sub_id":"node-1-8","results":[],"shard":1})",
    R"({"sub_id":"node-1-8","sub_id":"node-1-7","shard":1,"shard":2})",
    R"({"nested":{"sub_id":"node-1-7"},"shard":1})",
    R"([{"sub_id":"node-1-7"}])",
    R"({"sub_id":"node-1-7","results":[1})",
    R"({})",
    R"("sub_id")",
    "",
};

struct interval_case
{
    long shortestMs;
    std::size_t nodes;
    long expectedMs;
};

std::ostream &operator<<(std::ostream &out, const interval_case &row)
{
    return out << row.nodes << " nodes";
}

const interval_case INTERVALS[] = {{500, 1, 500}, {500, 50, 500}, {500, 56, 560}, {500, 470, 4700}, {0, 7, 70}};

} // namespace

BOOST_AUTO_TEST_SUITE(sub_answer_parser_tests)

// Guards against a parser whose result differs from that of a JSON document parser.
BOOST_DATA_TEST_CASE(matchesDocumentParser, boost::unit_test::data::make(TEXTS), text)
{
    checkSame(text);
}

// Guards against reads beyond the end of the text and wrong members on malformed answers; each text gets up to two mutations.
BOOST_AUTO_TEST_CASE(mutatedTextsMatchDocumentParser)
{
    std::mt19937_64 random(20261204);
    const std::string_view alphabet = "\"\\{}[],: 0-ean\x80\xc3";
    for (int i = 0; i < MUTATED_TEXTS; ++i) {
        std::string text = TEXTS[random() % 7];
        for (std::uint64_t mutations = 1 + random() % 2; mutations > 0; --mutations) {
            const std::size_t at = random() % text.size();
            const char c = alphabet[random() % alphabet.size()];
            if (random() % 3 == 0) {
                text.erase(at, 1 + random() % 4);
            } else if (random() % 2 == 0) {
                text.insert(at, 1, c);
            } else {
                text[at] = c;
            }
        }
        checkSame(text);
    }
}

// Guards against a total rate of platform reads that grows with the number of nodes.
BOOST_DATA_TEST_CASE(sharedReadIntervalLimitsTotalRate, boost::unit_test::data::make(INTERVALS), row)
{
    BOOST_TEST(sharedInterval(std::chrono::milliseconds(row.shortestMs), row.nodes, 100).count()
               == duration(std::chrono::milliseconds(row.expectedMs)).count());
}

BOOST_AUTO_TEST_SUITE_END()
