#include <boost/test/unit_test.hpp>

#include "tests/tier/running_site.h"

using namespace snipefall;
using std::chrono::milliseconds;

namespace {

constexpr int QUERIES = 40;

/** A site in which the address of a lost server of shard-1 belongs to the server of shard-0, which sends its last answer again before the next one. */
struct site_with_reused_address : running_site
{
    site_with_reused_address()
        : running_site(1, siteOptions())
    {
        const std::string lostId = site.addServer("shard-1", "zone-0");
        site.onLoop([&] {
            loopback_proxy &reused = *site.serverProxies().front();
            reused.setFault(loopback_proxy::fault::repeating_answers);
            for (site_backend *server : site.serversOf("shard-1")) {
                server->settings().id == lostId ? lost = server : slow = server;
            }
            lost->advertise(reused.address());
            slow->setFaults({0, 0, 0, false, milliseconds(150)});
        });
    }

    static site_emulator::options siteOptions()
    {
        site_emulator::options options;
        options.shards = 2;
        options.serversPerShard = 1;
        options.minCoverageShare = 0.5;
        options.proxies = true;
        return options;
    }

    site_backend *lost = nullptr;
    site_backend *slow = nullptr;
};

} // namespace

BOOST_AUTO_TEST_SUITE(reused_address_tests)

// Guards against a query that counts one shard twice: the repeated answer of its server is taken for that of a lost server which had the same address.
BOOST_FIXTURE_TEST_CASE(repeatedAnswerIsNoAnswerOfAnotherShard, site_with_reused_address)
{
    std::size_t answered = 0;
    for (int i = 0; i < QUERIES; ++i) {
        // A node leaves out a server whose address another one has taken until the server reports anew.
        site.onLoop([&] { lost->report("ready"); });
        const site_caller::request request = site.queryRequest();
        const site_caller::answer answer = site.call(site.addresses(names.front()).callers, request);
        if (answer.status != 200) {
            continue;
        }
        ++answered;
        BOOST_TEST(site.findAnswerProblem(answer, request) == "");
    }
    BOOST_TEST(answered > QUERIES / 2);
    BOOST_TEST(site.logOf(names.front()).find("server=" + lost->settings().id) != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
