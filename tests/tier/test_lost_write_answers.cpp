#include <algorithm>
#include <thread>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "platform/store_client.h"
#include "policy/crash_trial.h"
#include "tests/tier/running_site.h"
#include "tier/crash_trial_ledger.h"

using namespace snipefall;
using std::chrono::milliseconds;

namespace {

constexpr char TRIALS_KIND[] = "snipefall-crash-trials";
const request_fingerprint REQUEST(0xabcd);

struct lost_move_write_case
{
    const char *name;
    milliseconds delay; ///< From the arrival of a write until the store executes it.
    site_backend::faults faults; ///< Of the target version.
    const char *state; ///< At the end of the move.
};

std::ostream &operator<<(std::ostream &out, const lost_move_write_case &row)
{
    return out << row.name;
}

const lost_move_write_case LOST_MOVE_WRITES[] = {
    {"good version, executed at once", milliseconds(0), {}, "done"},
    {"good version, executed late", milliseconds(2500), {}, "done"},
    {"bad version, executed at once", milliseconds(0), {40, 0, 0, false, milliseconds(0)}, "rolled_back"},
    {"bad version, executed late", milliseconds(2500), {40, 0, 0, false, milliseconds(0)}, "rolled_back"},
};

struct lost_trial_write_case
{
    const char *name;
    milliseconds delay;
};

std::ostream &operator<<(std::ostream &out, const lost_trial_write_case &row)
{
    return out << row.name;
}

const lost_trial_write_case LOST_TRIAL_WRITES[] = {
    {"executed at once", milliseconds(0)},
    {"executed late", milliseconds(2500)},
};

} // namespace

BOOST_AUTO_TEST_SUITE(lost_write_answer_tests)

// Guards against a move whose recorded end changes, is wrong or never comes because the answers to the writes of its status are lost.
BOOST_DATA_TEST_CASE(recordedEndOfMoveIsFinal, boost::unit_test::data::make(LOST_MOVE_WRITES), row)
{
    running_site running(2);
    running.site.onLoop([&] { running.site.store().loseWriteAnswers(row.delay); });
    running.startMove("shard-0", row.faults);
    const auto hasEnded = [&] {
        running.queriesReach("shard-0", "v2");
        const std::string state = running.moveState("shard-0");
        return state == "done" || state == "rolled_back";
    };
    BOOST_REQUIRE(site_emulator::waitFor(hasEnded));
    // Writes that were sent before the end was recorded are executed in this time.
    const auto until = std::chrono::steady_clock::now() + row.delay + milliseconds(1500);
    while (std::chrono::steady_clock::now() < until) {
        BOOST_TEST(running.moveState("shard-0") == row.state);
        std::this_thread::sleep_for(milliseconds(50));
    }
    const char *stopped = row.state == std::string("done") ? "v1" : "v2";
    BOOST_TEST(site_emulator::waitFor([&] { return !running.queriesReach("shard-0", stopped); }));
}

// Guards against a trial that two nodes make, or that is not counted, because the answer to the write that takes it is lost.
BOOST_DATA_TEST_CASE(trialIsGrantedAtMostOnce, boost::unit_test::data::make(LOST_TRIAL_WRITES), row)
{
    boost::asio::io_context loop;
    site_store store(loop);
    store_client client(loop, store.address());
    crash_trial_ledger first(client);
    crash_trial_ledger second(client);
    std::vector<duration> waits;
    const auto take = [&](crash_trial_ledger &ledger) {
        const std::size_t before = waits.size();
        ledger.take(REQUEST, [&](duration wait) { waits.push_back(wait); });
        while (waits.size() == before) {
            loop.run_one();
        }
    };
    store.loseWriteAnswers(row.delay);
    take(first);
    store.loseWriteAnswers(std::nullopt);
    take(second);
    loop.run_for(row.delay + milliseconds(500));
    take(first);
    BOOST_TEST(std::count(waits.begin(), waits.end(), duration::zero()) <= 1);
    BOOST_TEST((waits.front() > duration::zero()));
    BOOST_TEST(store.find(TRIALS_KIND, "000000000000abcd")["spec"].value("trials", 0U) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
