#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <utility>

#include "policy/fact_table.h"

using namespace snipefall;
using std::chrono::hours;
using std::chrono::seconds;

namespace {

const time_point START{hours(1)};

fact makeFact(const std::string &key, std::uint64_t started, std::uint64_t sequence, const std::string &payload, duration lifetime = seconds(60))
{
    fact item;
    item.key = key;
    item.payload = payload;
    item.origin = node_id("node-" + std::to_string(started % 3));
    item.originIncarnation = incarnation(started);
    item.sequence = sequence;
    item.lifetime = lifetime;
    return item;
}

struct merge_case
{
    const char *name;
    fact second;
    bool expectMerged;
};

std::ostream &operator<<(std::ostream &out, const merge_case &testCase)
{
    return out << testCase.name;
}

// Each case merges its fact into a table that holds a fact with incarnation 10 and sequence 5.
const merge_case MERGE_CASES[] = {
    {"the same fact", makeFact("k", 10, 5, "new"), false},
    {"an older sequence", makeFact("k", 10, 4, "new"), false},
    {"a newer sequence", makeFact("k", 10, 6, "new"), true},
    {"an older incarnation with a newer sequence", makeFact("k", 9, 9, "new"), false},
    {"a newer incarnation with an older sequence", makeFact("k", 11, 1, "new"), true},
    {"no key", makeFact("", 11, 1, "new"), false},
    {"no time left", makeFact("k", 11, 1, "new", duration::zero()), false},
    {"a lifetime above the limit", makeFact("k", 11, 1, "new", hours(25)), false},
    {"a payload above the limit", makeFact("k", 11, 1, std::string(700, 'x')), false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(fact_table_tests)

// Guards against older facts that replace newer ones, and against facts from peers that are invalid or too large for a datagram.
BOOST_DATA_TEST_CASE(newestFactOfAKeyWins, MERGE_CASES)
{
    fact_table table;
    BOOST_REQUIRE(table.merge(START, makeFact("k", 10, 5, "old")));
    BOOST_TEST(table.merge(START, sample.second) == sample.expectMerged);
    BOOST_TEST(table.find(START, "k")->payload == (sample.expectMerged ? "new" : "old"));
}

// Guards against cached results that stay valid although a fact they depend on was added, replaced (also by a fact of another kind) or has expired.
BOOST_AUTO_TEST_CASE(kindVersionChangesWithItsFacts)
{
    constexpr auto KIND = fact_kind::draining_node;
    const auto ofKind = [](fact_kind kind, std::uint64_t sequence) {
        fact item = makeFact("k", 10, sequence, "p", seconds(10));
        item.kind = kind;
        return item;
    };
    fact_table table;
    std::uint64_t version = table.versionOf(KIND);
    const auto changed = [&] { return std::exchange(version, table.versionOf(KIND)) != version; };
    BOOST_REQUIRE(table.merge(START, ofKind(fact_kind::bad_version, 1)));
    BOOST_TEST(!changed());
    BOOST_REQUIRE(table.merge(START, ofKind(KIND, 2)));
    BOOST_TEST(changed());
    BOOST_REQUIRE(!table.merge(START, ofKind(KIND, 2)));
    BOOST_TEST(!changed());
    BOOST_REQUIRE(table.merge(START, ofKind(fact_kind::bad_version, 3)));
    BOOST_TEST(changed());
    BOOST_REQUIRE(table.merge(START, ofKind(KIND, 4)));
    BOOST_TEST(changed());
    table.tick(START + seconds(9));
    BOOST_TEST(!changed());
    table.tick(START + seconds(10));
    BOOST_TEST(changed());
    table.tick(START + seconds(11));
    BOOST_TEST(!changed());
}

// Guards against facts whose lifetime is extended by rebroadcasting, and against expired facts that come back from a peer that was paused.
BOOST_AUTO_TEST_CASE(rebroadcastingDoesNotExtendLifetime)
{
    fact_table first;
    fact_table second;
    BOOST_REQUIRE(first.publish(START, makeFact("k", 10, 0, "p", seconds(10))));
    std::vector<fact> sent;
    first.collect(START + seconds(7), 1000, 8, sent);
    BOOST_REQUIRE_EQUAL(sent.size(), 1U);
    BOOST_TEST((sent[0].lifetime == seconds(3)));
    BOOST_TEST(second.merge(START, sent[0]));
    BOOST_TEST(second.find(START + seconds(2), "k").has_value());
    BOOST_TEST(!second.find(START + seconds(3), "k").has_value());
    second.tick(START + seconds(4));
    BOOST_TEST(!second.merge(START + seconds(4), sent[0]));
    BOOST_TEST(second.digest().total() == 0U);
}

// Guards against a node that can't replace a fact of a peer that started later and thus has a higher incarnation.
BOOST_AUTO_TEST_CASE(localPublicationReplacesHeldFact)
{
    fact_table table;
    BOOST_REQUIRE(table.merge(START, makeFact("k", 20, 7, "peer")));
    const auto published = table.publish(START, makeFact("k", 10, 0, "own"));
    BOOST_REQUIRE(published);
    BOOST_TEST(published->originIncarnation.value() == 20U);
    BOOST_TEST(published->sequence == 8U);
    BOOST_TEST(table.find(START, "k")->payload == "own");
}

// Guards against merge results that depend on order or repetition: two tables that received the same facts must be equal and have equal digests.
BOOST_AUTO_TEST_CASE(mergeIsIndependentOfOrderAndRepeats)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        std::mt19937_64 random(seed);
        std::vector<fact> facts;
        for (int i = 0; i < 60; ++i) {
            const std::uint64_t started = random() % 4;
            const std::uint64_t sequence = random() % 5;
            facts.push_back(makeFact("k" + std::to_string(random() % 6), started, sequence, std::to_string(started) + "/" + std::to_string(sequence)));
        }
        fact_table first;
        fact_table second;
        for (const fact &item : facts) {
            first.merge(START, item);
        }
        facts.insert(facts.end(), facts.begin(), facts.begin() + 30);
        std::shuffle(facts.begin(), facts.end(), random);
        for (const fact &item : facts) {
            second.merge(START, item);
        }
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(first.digest().total() == second.digest().total());
            const auto held = first.all(START);
            BOOST_REQUIRE_EQUAL(held.size(), second.all(START).size());
            for (const fact &item : held) {
                BOOST_TEST(second.find(START, item.key)->payload == item.payload);
            }
            BOOST_TEST(first.differing(START, second.digest().buckets(), 1000, 4, 0).empty());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
