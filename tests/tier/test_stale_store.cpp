#include <thread>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/tier/running_site.h"

using namespace snipefall;
using std::chrono::milliseconds;

namespace {

/** Time limit of the platform for applying a change, less the way of a request to the node. */
constexpr milliseconds APPLY_LIMIT(2900);

enum class news_fault
{
    none,
    old_copy, ///< Calls that allow stale data are answered from a copy that is older than the time limit.
    forgotten_watches, ///< The pending watches of all nodes are told of no change.
    cut_watches, ///< The history is discarded just before the change.
};

struct late_news_case
{
    const char *name;
    std::size_t nodes;
    news_fault fault;
};

std::ostream &operator<<(std::ostream &out, const late_news_case &row)
{
    return out << row.name;
}

const late_news_case LATE_NEWS[] = {
    {"watches report at once", 3, news_fault::none},
    {"an old copy answers", 3, news_fault::old_copy},
    {"an old copy answers a single node", 1, news_fault::old_copy},
    {"all watches are forgotten", 3, news_fault::forgotten_watches},
    {"the history is discarded", 3, news_fault::cut_watches},
};

void inject(running_site &running, news_fault fault)
{
    running.site.onLoop([&] {
        switch (fault) {
        case news_fault::none:
            break;
        case news_fault::old_copy:
            running.site.store().setCopyAge(std::chrono::seconds(4));
            break;
        case news_fault::forgotten_watches:
            running.site.store().forgetWatches();
            break;
        case news_fault::cut_watches:
            running.site.store().discardHistory();
        }
    });
}

/** How long after @p since the condition holds at the last of the nodes; APPLY_LIMIT * 2 if it doesn't within that time. */
milliseconds appliedAfter(running_site &running, std::chrono::steady_clock::time_point since, const std::function<bool(const std::string &)> &isApplied)
{
    const auto elapsed = [since] { return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - since); };
    for (const std::string &name : running.names) {
        while (!isApplied(name) && elapsed() < 2 * APPLY_LIMIT) {
            std::this_thread::sleep_for(milliseconds(20));
        }
    }
    return std::min(elapsed(), 2 * APPLY_LIMIT);
}

} // namespace

BOOST_AUTO_TEST_SUITE(stale_store_tests)

// Guards against nodes that serve an old configuration beyond the time limit because their watches are answered from an old copy or not at all.
BOOST_DATA_TEST_CASE(configurationIsInForceInTime, boost::unit_test::data::make(LATE_NEWS), row)
{
    running_site running(row.nodes);
    std::this_thread::sleep_for(milliseconds(4500)); // The copy has caught up with the start of the site.
    inject(running, row.fault);
    running.site.configure([](json &configuration) { configuration["routes"][0]["path_prefix"] = "/changed/"; });
    const milliseconds applied =
        appliedAfter(running, std::chrono::steady_clock::now(), [&](const std::string &name) { return running.site.query(name).status == 404; });
    BOOST_TEST(applied.count() < APPLY_LIMIT.count());
}

// Guards against requests to a failure domain that was taken out, beyond the time limit, for the same reasons.
BOOST_DATA_TEST_CASE(excludedDomainGetsNoRequestsInTime, boost::unit_test::data::make(LATE_NEWS), row)
{
    running_site running(row.nodes);
    std::this_thread::sleep_for(milliseconds(4500));
    inject(running, row.fault);
    running.site.onLoop([&] { running.site.store().put("evacuations", "zone-1", {{"zone", "zone-1"}}); });
    const milliseconds applied = appliedAfter(running, std::chrono::steady_clock::now(), [&](const std::string &name) {
        return running.site.logOf(name).find("event=domains.taken_out domains=zone-1") != std::string::npos;
    });
    BOOST_TEST(applied.count() < APPLY_LIMIT.count());
}

BOOST_AUTO_TEST_SUITE_END()
