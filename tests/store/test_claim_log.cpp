#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <set>
#include <thread>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "store/claim_log.h"
#include "tests/store/faulty_object_store.h"

using namespace snipefall;

namespace {

using kind = claim_result::kind;

constexpr std::uint64_t START_MS = 1'800'000'000'000;
constexpr std::int64_t HOUR_MS = 3'600'000;
const service_id SERVICE("order-book");

/** Generates a request id that maps to one of the first @p buckets buckets. */
request_id idIn(std::mt19937_64 &random, std::uint64_t unixMs, std::uint64_t buckets)
{
    while (true) {
        request_id id(uuid_v7::generate(unixMs, random(), random()).text());
        if (claim_bucket::indexOf(id) < buckets) {
            return id;
        }
    }
}

claim_log_options optionsOf(const std::string &node, std::uint64_t started, std::uint64_t nowMs = START_MS)
{
    return {{node_id(node), incarnation(started)}, started, [nowMs] { return nowMs; }};
}

struct claim_case
{
    const char *name;
    std::int64_t ageMs;
    int answersLost;
    bool down;
    bool claimedBefore; ///< Whether another node has already claimed the id.
    kind expected;
    error_code reason;
};

std::ostream &operator<<(std::ostream &out, const claim_case &row)
{
    return out << row.name;
}

const claim_case CLAIMS[] = {
    {"new id", 0, 0, false, false, kind::claimed, {}},
    {"answer lost", 0, 1, false, false, kind::claimed, {}},
    {"claimed by another node", 0, 0, false, true, kind::already_claimed, {}},
    {"platform down", 0, 0, true, false, kind::refused, error_code::unavailable},
    {"oldest accepted", 24 * HOUR_MS, 0, false, false, kind::claimed, {}},
    {"too old", 24 * HOUR_MS + 1, 0, false, false, kind::refused, error_code::invalid_argument},
    {"furthest ahead", -300'000, 0, false, false, kind::claimed, {}},
    {"too far ahead", -300'001, 0, false, false, kind::refused, error_code::invalid_argument},
};

} // namespace

BOOST_AUTO_TEST_SUITE(claim_log_tests)

// Guards against claims that are granted without a durable entry, and against claims refused although their result can be determined.
BOOST_DATA_TEST_CASE(claimResults, CLAIMS)
{
    std::mt19937_64 random(1);
    memory_object_store store;
    claim_log log(store, optionsOf("a", 1));
    claim_log other(store, optionsOf("b", 2));
    const request_id id = idIn(random, START_MS - static_cast<std::uint64_t>(sample.ageMs), CLAIM_BUCKETS);
    if (sample.claimedBefore) {
        BOOST_REQUIRE((other.claim(SERVICE, id).status == kind::claimed));
    }
    store.loseWriteResponses(sample.answersLost);
    store.setDown(sample.down);
    const claim_result result = log.claim(SERVICE, id);
    store.setDown(false);
    BOOST_TEST((result.status == sample.expected));
    BOOST_TEST((result.status != kind::refused || result.reason.code == sample.reason));
    BOOST_TEST((result.fencingToken.value() == 1) == (sample.expected == kind::claimed));
    BOOST_TEST((!result.entry || result.entry->node == node_id("b")));
    std::string upper = id.str();
    std::transform(upper.begin(), upper.end(), upper.begin(), [](unsigned char c) { return std::toupper(c); });
    BOOST_TEST((sample.expected == kind::refused || other.claim(SERVICE, request_id(upper)).status == kind::already_claimed));
}

// Guards against a node that answers "not run" to a repeat of a request that it ran, and against final results that change.
BOOST_AUTO_TEST_CASE(finalResultsDoNotChange)
{
    std::mt19937_64 random(2);
    memory_object_store store;
    claim_log log(store, optionsOf("a", 1));
    claim_log other(store, optionsOf("b", 2));
    const request_id id = idIn(random, START_MS, 1);
    const object_version token = log.claim(SERVICE, id).fencingToken;
    BOOST_TEST((other.recordResult(SERVICE, id, token, claim_state::ran, "theirs").reason().code == error_code::not_found));
    BOOST_TEST((log.recordResult(SERVICE, id, object_version(9), claim_state::ran, "late").reason().code == error_code::not_found));
    store.setDown(true);
    BOOST_TEST((log.recordResult(SERVICE, id, token, claim_state::unknown, "").reason().code == error_code::unavailable));
    BOOST_TEST((log.claim(SERVICE, id).status == kind::already_claimed));
    store.setDown(false);
    // The next write of the bucket also saves the unsaved result.
    BOOST_TEST((log.claim(SERVICE, idIn(random, START_MS, 1)).status == kind::claimed));
    BOOST_TEST((other.claim(SERVICE, id).entry->state == claim_state::unknown));
    BOOST_TEST(log.recordResult(SERVICE, id, token, claim_state::ran, "mine").hasValue());
    BOOST_TEST(log.recordResult(SERVICE, id, token, claim_state::ran, "mine").hasValue());
    BOOST_TEST((log.recordResult(SERVICE, id, token, claim_state::not_run, "").reason().code == error_code::conflict));
    BOOST_TEST(other.claim(SERVICE, id).entry->resultBody.value_or("") == "mine");
}

// Guards against a result that could not be saved and stays unsaved until another request maps to the same bucket.
BOOST_DATA_TEST_CASE(unsavedResultsAreSavedAfterOutage, boost::unit_test::data::make({1, 3}), orders)
{
    std::mt19937_64 random(3);
    memory_object_store store;
    claim_log log(store, optionsOf("a", 1));
    claim_log other(store, optionsOf("b", 2));
    std::vector<request_id> ids;
    std::vector<object_version> tokens;
    for (int i = 0; i < orders; ++i) {
        ids.push_back(idIn(random, START_MS, 1));
        tokens.push_back(log.claim(SERVICE, ids.back()).fencingToken);
    }
    store.setDown(true);
    for (int i = 0; i < orders; ++i) {
        BOOST_TEST(!log.recordResult(SERVICE, ids[i], tokens[i], claim_state::ran, "mine").hasValue());
    }
    log.saveUnsaved();
    store.setDown(false);
    BOOST_TEST((other.claim(SERVICE, ids[0]).entry->state == claim_state::running));
    log.saveUnsaved();
    for (const request_id &id : ids) {
        BOOST_TEST(other.claim(SERVICE, id).entry->resultBody.value_or("") == "mine");
    }
}

/** Becomes unavailable during its first write: the response is lost, and the write takes effect only if takesEffect is set. */
struct response_losing_store : memory_object_store
{
    outcome<object_version> write(call_purpose purpose, const std::string &key, std::string value, object_version expected)
    {
        if (!std::exchange(loseNext, false)) {
            return memory_object_store::write(purpose, key, std::move(value), expected);
        }
        if (takesEffect) {
            (void)memory_object_store::write(purpose, key, std::move(value), expected);
        }
        setDown(true);
        return failure{error_code::unknown_result, "answer lost"};
    }

    bool loseNext = true;
    bool takesEffect = true;
};

// Guards against a node that refuses a request as not run and runs it later, and against a claim entry left in state running that blocks it.
// The response to the write of the claim is lost, so that the node can't tell whether it owns the claim.
BOOST_DATA_TEST_CASE(claimWithUnknownWriteResultIsNeverRun, boost::unit_test::data::make({true, false}))
{
    std::mt19937_64 random(5);
    response_losing_store store;
    store.takesEffect = sample;
    claim_log log(store, optionsOf("a", 1));
    claim_log other(store, optionsOf("b", 2));
    const request_id id = idIn(random, START_MS, 1);
    BOOST_TEST((log.claim(SERVICE, id).status == kind::refused));
    store.setDown(false);
    BOOST_TEST((log.claim(SERVICE, id).status == kind::refused));
    BOOST_TEST((log.claim(SERVICE, idIn(random, START_MS, 1)).status == kind::claimed));
    const claim_result otherResult = other.claim(SERVICE, id);
    BOOST_TEST((otherResult.status == (sample ? kind::already_claimed : kind::claimed)));
    BOOST_TEST((!sample || otherResult.entry->state == claim_state::not_run));
}

// Guards against a second claim of an expired id by a node whose clock is behind, or by a node that was paused after it checked the id's age.
BOOST_AUTO_TEST_CASE(expiredIdsAreNotClaimedAgain)
{
    std::mt19937_64 random(6);
    memory_object_store store;
    const request_id id = idIn(random, START_MS - static_cast<std::uint64_t>(24 * HOUR_MS), 1);
    claim_log first(store, optionsOf("a", 1));
    BOOST_REQUIRE((first.claim(SERVICE, id).status == kind::claimed));
    claim_log ahead(store, optionsOf("b", 2, START_MS + 590'000));
    BOOST_REQUIRE((ahead.claim(SERVICE, idIn(random, START_MS, 1)).status == kind::claimed));
    claim_log behind(store, optionsOf("c", 3));
    BOOST_TEST((behind.claim(SERVICE, id).status == kind::already_claimed));

    claim_log later(store, optionsOf("d", 4, START_MS + 700'000));
    BOOST_REQUIRE((later.claim(SERVICE, idIn(random, START_MS, 1)).status == kind::claimed));
    std::uint64_t pausedClock = START_MS;
    claim_log paused(store, {{node_id("e"), incarnation(5)}, 5, [&] { return std::exchange(pausedClock, START_MS + 700'000); }});
    const claim_result result = paused.claim(SERVICE, id);
    BOOST_TEST((result.status == kind::refused && result.reason.code == error_code::invalid_argument));
}

struct size_case
{
    const char *name;
    std::size_t entries;
    std::size_t bodyBytes;
    bool valid;
    kind expected;
};

std::ostream &operator<<(std::ostream &out, const size_case &row)
{
    return out << row.name;
}

const size_case SIZES[] = {
    {"small", 10, MAX_RESULT_BODY_BYTES, true, kind::claimed},
    {"full of results", 1'000, MAX_RESULT_BODY_BYTES, true, kind::claimed},
    {"full of claims", 9'000, 0, true, kind::refused},
    {"corrupt", 10, 0, false, kind::refused},
};

// Guards against buckets larger than the platform's limit, and against overwriting a corrupt bucket, which would lose its claims.
BOOST_DATA_TEST_CASE(bucketSizeIsLimited, SIZES)
{
    std::mt19937_64 random(3);
    memory_object_store store;
    claim_bucket bucket;
    const std::string body(sample.bodyBytes, 'x');
    std::vector<request_id> ids;
    ids.reserve(sample.entries);
    for (std::size_t n = 0; n < sample.entries; ++n) {
        ids.push_back(idIn(random, START_MS - 1'000 + n, CLAIM_BUCKETS));
        bucket.entries[ids.back()] = {node_id("a"), incarnation(1), "n", object_version(1), claim_state::ran, sha256Hex(body), storableResultBody(body)};
    }
    const std::string key = claim_bucket::keyOf(SERVICE, 0);
    BOOST_REQUIRE(store.write(call_purpose::claim, key, sample.valid ? bucket.text() : bucket.text() + "]", object_version()).hasValue());
    claim_log log(store, optionsOf("b", 2));
    const claim_result result = log.claim(SERVICE, idIn(random, START_MS, 1));
    BOOST_TEST((result.status == sample.expected));
    const auto stored = store.read(call_purpose::claim, key);
    BOOST_TEST(stored->version.value() == (sample.expected == kind::claimed ? 2u : 1u));
    if (sample.expected == kind::claimed) {
        BOOST_TEST(stored->value.size() <= MAX_CLAIM_BUCKET_BYTES);
        const auto after = claim_bucket::parse(*stored);
        BOOST_TEST(after->entries.size() == sample.entries + 1);
        BOOST_TEST(after->entries.at(ids.front()).resultBody.has_value() == (sample.entries == 10));
        BOOST_TEST(after->entries.at(ids.back()).resultBody.has_value());
    }
}

// Guards against result bodies that storing would alter, and against stored bodies that are too large.
BOOST_AUTO_TEST_CASE(onlySmallUtf8BodiesAreStored)
{
    BOOST_TEST(storableResultBody("{\"a\":\"\xC3\xA9\"}").has_value());
    BOOST_TEST(!storableResultBody("\xFF").has_value());
    BOOST_TEST(!storableResultBody(std::string(MAX_RESULT_BODY_BYTES + 1, 'x')).has_value());
}

// Guards against granting one id twice, to two threads of a node or to two nodes, when claims are written by group commit.
BOOST_AUTO_TEST_CASE(concurrentClaimsAreGrantedOnce)
{
    std::mt19937_64 random(4);
    memory_object_store store;
    std::array<claim_log<memory_object_store>, 3> logs{
        claim_log(store, optionsOf("a", 1)), claim_log(store, optionsOf("b", 2)), claim_log(store, optionsOf("c", 3))};
    std::vector<request_id> ids;
    ids.reserve(200);
    for (int n = 0; n < 200; ++n) {
        ids.push_back(idIn(random, START_MS, 2));
    }
    std::vector<std::atomic<int>> grants(ids.size());
    std::vector<std::thread> threads;
    threads.reserve(12);
    for (std::size_t n = 0; n < 12; ++n) {
        threads.emplace_back([&, n] {
            for (std::size_t i = 0; i < ids.size(); ++i) {
                const std::size_t index = (i + n / 6 * 100) % ids.size();
                if (i % 20 == 0) {
                    store.loseWriteResponses(2);
                }
                const claim_result result = logs[n % 3].claim(SERVICE, ids[index]);
                if (result.status == kind::claimed) {
                    ++grants[index];
                    (void)logs[n % 3].recordResult(SERVICE, ids[index], result.fencingToken, claim_state::ran, "done");
                }
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    BOOST_TEST(std::count_if(grants.begin(), grants.end(), [](int count) { return count > 1; }) == 0);
    BOOST_TEST(std::count_if(grants.begin(), grants.end(), [](int count) { return count == 1; }) >= 190);
}

BOOST_AUTO_TEST_SUITE_END()
