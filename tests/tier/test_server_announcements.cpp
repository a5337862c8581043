#include <boost/test/unit_test.hpp>

#include "tests/tier/running_site.h"

using namespace snipefall;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(tier_tests)

// Guards against requests that reach a server after it announced in an answer that it leaves, while the node can't reach the store.
BOOST_AUTO_TEST_CASE(serversThatAnnounceLeavingGetNoRequestsDuringStoreOutage)
{
    running_site running(1);
    running.site.onLoop([&] { running.site.store().setCondition(site_store::condition::silent); });
    site_backend *leaving = running.site.onLoop([&] {
        site_backend *server = running.site.serversOf("shard-0").front();
        server->setAnnouncements({true, milliseconds(0)});
        return server;
    });
    const auto arrivals = [&] { return running.site.onLoop([&] { return leaving->arrivals(); }); };
    const auto before = arrivals();
    BOOST_REQUIRE(site_emulator::waitFor([&] {
        running.site.query("node-0");
        return arrivals() > before;
    }));
    // The answer that says so may still be on its way to the node when the query ends.
    std::this_thread::sleep_for(milliseconds(200));
    const auto announced = arrivals();
    for (int i = 0; i < 60; ++i) {
        const site_caller::request request = running.site.queryRequest();
        BOOST_TEST(running.site.findAnswerProblem(running.site.call(running.site.addresses("node-0").callers, request), request) == "");
    }
    BOOST_TEST(arrivals() == announced);
}

// Guards against requests that reach a server during the time for which it asked for none, and against callers that wait for it until their deadline.
BOOST_AUTO_TEST_CASE(refusingServersGetNoRequestsUntilTheyAskedFor)
{
    constexpr milliseconds PAUSE(4000);
    running_site running(1);
    running.site.onLoop([&] {
        for (site_backend *server : running.site.serversOf(site_emulator::UNSHARDED_SERVICE)) {
            server->setAnnouncements({false, PAUSE});
            server->setFaults({0, 100, 0, false, milliseconds(0)});
        }
    });
    const auto arrivals = [&] {
        return running.site.onLoop([&] {
            std::uint64_t sum = 0;
            for (site_backend *server : running.site.serversOf(site_emulator::UNSHARDED_SERVICE)) {
                sum += server->arrivals();
            }
            return sum;
        });
    };
    BOOST_TEST(running.site.order("node-0").status == 503U);
    const auto before = arrivals();
    BOOST_TEST(before == 3U);
    double lastRetryAfterS = 0;
    for (int i = 0; i < 10; ++i) {
        const site_caller::answer answer = running.site.order("node-0");
        BOOST_TEST(answer.status == 503U);
        BOOST_TEST(answer.retryAfterS > 1);
        BOOST_TEST(answer.retryAfterS <= 4);
        lastRetryAfterS = answer.retryAfterS;
    }
    BOOST_TEST(arrivals() == before);
    running.setFaults(site_emulator::UNSHARDED_SERVICE, {});
    std::this_thread::sleep_for(std::chrono::duration<double>(lastRetryAfterS));
    BOOST_TEST(site_emulator::waitFor([&] { return running.site.order("node-0").status == 200; }));
}

// Guards against more requests to a server than it takes by the rate limit that it names, from all nodes together.
BOOST_AUTO_TEST_CASE(serversGetNoMoreRequestsThanTheirLimit)
{
    constexpr double LIMIT = 3;
    constexpr std::chrono::seconds SETTLING(4);
    constexpr std::chrono::seconds WINDOW(4);
    running_site running(2);
    site_backend *limited = running.site.onLoop([&] {
        site_backend *server = running.site.serversOf("shard-0").front();
        server->setAnnouncements({false, milliseconds(0), LIMIT});
        return server;
    });
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; std::chrono::steady_clock::now() - begin < SETTLING + 2 * WINDOW; ++i) {
        const site_caller::request request = running.site.queryRequest();
        BOOST_TEST(running.site.findAnswerProblem(running.site.call(running.site.addresses(running.names[i % 2]).callers, request), request) == "");
    }
    const std::vector<site_backend::run> runs = running.site.onLoop([&] { return limited->runs(); });
    BOOST_TEST(!runs.empty());
    std::size_t most = 0;
    for (const site_backend::run &first : runs) {
        const auto inWindow =
            std::count_if(runs.begin(), runs.end(), [&](const site_backend::run &run) { return run.at >= first.at && run.at < first.at + WINDOW; });
        most = std::max(most, first.at < begin + SETTLING ? 0 : static_cast<std::size_t>(inWindow));
    }
    BOOST_TEST(static_cast<double>(most) <= 1.5 * 4 * LIMIT + 5);
}

BOOST_AUTO_TEST_SUITE_END()
