#include <random>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "node/account_keeper.h"
#include "store/memory_object_store.h"
#include "tests/store/faulty_object_store.h"

using namespace snipefall;

namespace {

const node_id NODE("node-1");
constexpr std::uint64_t SEED = 20240611;

template <typename Store>
account_keeper::calls callsOf(Store &store)
{
    return {[&store](const std::string &key) { return store.read(call_purpose::account, key); },
            [&store](const std::string &key, const std::string &value, object_version expected) {
                return store.write(call_purpose::account, key, value, expected);
            },
            [](const answer_record &) {}};
}

answer_record answerOf(const std::string &service)
{
    answer_record record;
    record.service = service_id(service);
    record.version = version_id("v1");
    record.snapshot = snapshot_id("s1");
    record.outcome = answer_outcome::complete;
    record.itemsSeen = 10;
    record.itemsTotal = 10;
    return record;
}

struct stored_totals
{
    std::map<std::uint64_t, std::uint64_t> answers; ///< By incarnation.
    std::map<std::uint64_t, std::uint64_t> accounts; ///< By incarnation: the number of stored accounts, one per part.
    std::uint64_t closed = 0;
};

stored_totals totalsOf(memory_object_store &store)
{
    stored_totals result;
    const auto objects = store.list(call_purpose::account, "accounts/" + NODE.str() + "/");
    BOOST_REQUIRE(objects);
    for (const object &stored : *objects) {
        for (const json &entry : json::parse(stored.value)) {
            const outcome<node_account> account = node_account::fromJson(entry);
            BOOST_REQUIRE(account);
            result.closed += account->closed() ? 1 : 0;
            ++result.accounts[account->nodeIncarnation().value()];
            for (const auto &[key, totals] : account->totals()) {
                result.answers[account->nodeIncarnation().value()] += totals.answers();
            }
        }
    }
    return result;
}

struct save_case
{
    const char *name;
    std::vector<int> lostResponses; ///< Number of write responses that the store drops, set before each save.
    std::vector<bool> down;
};

std::ostream &operator<<(std::ostream &out, const save_case &row)
{
    return out << row.name;
}

const save_case SAVE_CASES[] = {
    {"no fault", {0, 0, 0}, {false, false, false}},
    {"one answer lost", {1, 0, 0}, {false, false, false}},
    {"each answer lost", {100, 100, 100}, {false, false, false}},
    {"lost, then down", {9, 0, 0}, {false, true, false}},
    {"down from the start", {0, 0, 0}, {true, true, false}},
};

} // namespace

BOOST_AUTO_TEST_SUITE(account_keeper_tests)

// Guards against answers that are counted twice in the report, because a save is repeated after the response to its write was lost.
BOOST_DATA_TEST_CASE(countsAnswersOnceAfterLostResponses, SAVE_CASES)
{
    memory_object_store store;
    account_keeper keeper(NODE, incarnation(7), callsOf(store));
    for (std::size_t step = 0; step < sample.lostResponses.size(); ++step) {
        for (int service = 0; service < 20; ++service) {
            keeper.add(answerOf("svc-" + std::to_string(service)));
        }
        store.setDown(sample.down[step]);
        store.loseWriteResponses(sample.lostResponses[step]);
        BOOST_TEST((keeper.save().empty() || sample.down[step] || sample.lostResponses[step] > 0));
    }
    store.setDown(false);
    store.loseWriteResponses(0);
    BOOST_TEST(keeper.close() == "");
    const stored_totals totals = totalsOf(store);
    BOOST_TEST(totals.answers.at(7) == 60U);
    BOOST_TEST(totals.closed == totals.accounts.at(7));
}

// Guards against a restarted node that overwrites the account of its earlier incarnation.
BOOST_AUTO_TEST_CASE(keepsAccountsOfEarlierIncarnations)
{
    memory_object_store store;
    for (std::uint64_t number = 1; number <= 3; ++number) {
        account_keeper keeper(NODE, incarnation(number), callsOf(store));
        for (std::uint64_t i = 0; i < number; ++i) {
            keeper.add(answerOf("svc"));
        }
        store.loseWriteResponses(number == 2 ? 1 : 0);
        BOOST_TEST(keeper.save() == "");
        keeper.add(answerOf("svc"));
        BOOST_TEST(keeper.save() == "");
    }
    const stored_totals totals = totalsOf(store);
    BOOST_TEST((totals.answers == std::map<std::uint64_t, std::uint64_t>{{1, 2}, {2, 3}, {3, 4}}));
    BOOST_TEST((totals.accounts.at(1) == totals.accounts.at(3)));
    BOOST_TEST(totals.closed == 0U);
}

// Guards against a node that crashes when it saves the request id of a caller that is not valid UTF-8.
BOOST_AUTO_TEST_CASE(savesRequestIdsThatAreNotUtf8)
{
    memory_object_store store;
    account_keeper keeper(NODE, incarnation(7), callsOf(store));
    answer_record record = answerOf("svc");
    record.outcome = answer_outcome::unknown;
    record.request = request_id("\xff\xc3");
    keeper.add(record);
    BOOST_TEST(keeper.save() == "");
    BOOST_TEST(totalsOf(store).answers.at(7) == 1U);
}

// Guards against answers that are counted twice or lost when lost responses, delayed writes, outages and restarts coincide.
BOOST_AUTO_TEST_CASE(countsAnswersOnceUnderCombinedFaults)
{
    std::mt19937_64 random(SEED);
    for (int round = 0; round < 60; ++round) {
        memory_object_store store;
        faulty_object_store faulty(store, random);
        std::map<std::uint64_t, std::uint64_t> expected;
        for (std::uint64_t number = 1; number <= 3; ++number) {
            account_keeper keeper(NODE, incarnation(number), callsOf(faulty));
            faulty.setFaultPercent(30);
            for (int step = 0; step < 10; ++step) {
                keeper.add(answerOf("svc-" + std::to_string(random() % 5)));
                ++expected[number];
                keeper.save();
            }
            faulty.setFaultPercent(0);
            // Delayed writes of earlier saves may be applied meanwhile and cause conflicts, so a save can need more than one attempt.
            int attempts = 0;
            while (!keeper.close().empty() && attempts < 20) {
                ++attempts;
            }
        }
        BOOST_TEST((totalsOf(store).answers == expected), "round " << round);
    }
}

BOOST_AUTO_TEST_SUITE_END()
