#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/backend_table.h"
#include "policy/server_announcement.h"

using namespace snipefall;

namespace {

constexpr duration MEDIAN_LATENCY = std::chrono::milliseconds(10);
const service_id SERVICE("shard-1");
const failure_domain_id OWN_DOMAIN("here");
const failure_domain_id OTHER_DOMAIN("there");
const time_point START{std::chrono::hours(1)};

backend_entry entryOf(const std::string &id, const failure_domain_id &domain = OWN_DOMAIN)
{
    backend_entry entry;
    entry.id = backend_server_id(id);
    entry.service = SERVICE;
    entry.address = "10.0.0.1:" + std::to_string(1000 + id.size());
    entry.domain = domain;
    entry.version = version_id("v1");
    entry.slots = 2;
    entry.startedMs = 100;
    entry.sequence = 5;
    return entry;
}

std::string chosenServer(backend_table &table, time_point now, const std::vector<backend_server_id> &excluded = {})
{
    const auto choice = table.choose(SERVICE, excluded, backend_table::suspended_server_policy::avoided, MEDIAN_LATENCY, now);
    return choice ? choice->id.str() : "";
}

struct report_case
{
    const char *name;
    std::uint64_t startedMs;
    std::uint64_t sequence;
    bool accepted;
};

std::ostream &operator<<(std::ostream &out, const report_case &row)
{
    return out << row.name;
}

const report_case REPORT_CASES[] = {
    {"the next report of the same run", 100, 6, true},
    {"the same report", 100, 5, true},
    {"an older report of the same run", 100, 4, false},
    {"a later run, whose report numbers start again", 200, 1, true},
    {"an earlier run", 50, 9, false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(backend_table_tests)

// Guards against late reports that overwrite a newer state.
BOOST_DATA_TEST_CASE(olderReportsAreIgnored, boost::unit_test::data::make(REPORT_CASES), row)
{
    backend_table table(OWN_DOMAIN, 1);
    table.apply(entryOf("a"), START);
    backend_entry report = entryOf("a");
    report.startedMs = row.startedMs;
    report.sequence = row.sequence;
    report.draining = true;
    BOOST_TEST(table.apply(report, START) == row.accepted);
    BOOST_TEST(chosenServer(table, START) == (row.accepted ? "" : "a"));
}

// Guards against requests to servers that are draining or in an excluded failure domain.
BOOST_AUTO_TEST_CASE(drainingServersAndExcludedDomainsGetNoRequests)
{
    backend_table table(OWN_DOMAIN, 1);
    table.apply(entryOf("a", OTHER_DOMAIN), START);
    BOOST_TEST(chosenServer(table, START) == "a");
    table.setExcludedDomains({OTHER_DOMAIN});
    BOOST_TEST(chosenServer(table, START) == "");
    BOOST_TEST((table.availableAt(SERVICE, START) == time_point::max()));
    table.setExcludedDomains({});
    backend_entry draining = entryOf("a", OTHER_DOMAIN);
    draining.draining = true;
    table.apply(draining, START);
    BOOST_TEST(chosenServer(table, START) == "");
}

struct leaving_case
{
    const char *name;
    bool relisted; ///< The store removes the entry first and then lists it again.
    std::uint64_t startedMs; ///< Of the report that arrives after the announcement.
    bool usable;
};

std::ostream &operator<<(std::ostream &out, const leaving_case &row)
{
    return out << row.name;
}

const leaving_case LEAVING_CASES[] = {
    {"a newer report of the same run", false, 100, false},
    {"a newer report of the same run after the entry was missing", true, 100, false},
    {"a report of the next run", false, 200, true},
    {"a report of the next run after the entry was missing", true, 200, true},
};

// Guards against forgetting that a server leaves when the store reports the same run as ready again.
BOOST_DATA_TEST_CASE(announcedLeavingHoldsForTheRunOfTheServer, boost::unit_test::data::make(LEAVING_CASES), row)
{
    backend_table table(OWN_DOMAIN, 1);
    table.apply(entryOf("a"), START);
    BOOST_TEST(table.noteAnnouncement(backend_server_id("a"), {true, std::nullopt, std::nullopt}, START, START));
    BOOST_TEST(!table.noteAnnouncement(backend_server_id("a"), {true, std::nullopt, std::nullopt}, START, START));
    BOOST_TEST(chosenServer(table, START) == "");
    BOOST_TEST((table.availableAt(SERVICE, START) == time_point::max()));
    if (row.relisted) {
        table.remove(backend_server_id("a"), START);
    }
    backend_entry report = entryOf("a");
    report.startedMs = row.startedMs;
    report.sequence += 10;
    BOOST_TEST(table.apply(report, START));
    BOOST_TEST(chosenServer(table, START) == (row.usable ? "a" : ""));
}

// Guards against requests within the time for which a server asked for none, also after its entry was missing for a while.
BOOST_AUTO_TEST_CASE(pausedServersGetNoRequests)
{
    backend_table table(OWN_DOMAIN, 1);
    table.apply(entryOf("a"), START);
    const time_point end = START + std::chrono::seconds(2);
    BOOST_TEST(table.noteAnnouncement(backend_server_id("a"), {false, std::nullopt, std::chrono::seconds(2)}, START, START));
    // A shorter pause doesn't end a longer one.
    table.noteAnnouncement(backend_server_id("a"), {false, std::nullopt, std::chrono::seconds(1)}, START, START);
    BOOST_TEST(chosenServer(table, end - duration(1)) == "");
    BOOST_TEST((table.availableAt(SERVICE, START) == end));
    table.remove(backend_server_id("a"), START);
    table.apply(entryOf("a"), START);
    BOOST_TEST(chosenServer(table, end - duration(1)) == "");
    BOOST_TEST(chosenServer(table, end) == "a");
}

server_announcement limitOf(double requestsPerSecond)
{
    server_announcement announced;
    announced.requestsPerSecond = requestsPerSecond;
    return announced;
}

// Guards against a rate limit that is forgotten with the entry, or ended by an answer to a request from before the limit was named.
BOOST_AUTO_TEST_CASE(rateLimitHoldsUntilAnAnswerNamesNone)
{
    backend_table table(OWN_DOMAIN, 1);
    const backend_server_id id("a");
    table.apply(entryOf("a"), START);
    table.setNodeCount(10);
    BOOST_TEST(table.noteAnnouncement(id, limitOf(1), START, START));
    BOOST_TEST(!table.noteAnnouncement(id, limitOf(1), START, START));
    const auto sentWithin10s = [&](time_point from) {
        std::size_t sent = 0;
        for (time_point now = from; now < from + std::chrono::seconds(10); now += std::chrono::milliseconds(10)) {
            sent += chosenServer(table, now).empty() ? 0 : 1;
        }
        return sent;
    };
    BOOST_TEST(sentWithin10s(START) <= 1U);
    table.noteAnnouncement(id, {}, START, START + std::chrono::seconds(10));
    BOOST_TEST(sentWithin10s(START + std::chrono::seconds(10)) <= 1U);
    table.remove(id, START + std::chrono::seconds(20));
    table.apply(entryOf("a"), START + std::chrono::seconds(20));
    BOOST_TEST(sentWithin10s(START + std::chrono::seconds(20)) <= 1U);
    BOOST_TEST(table.noteAnnouncement(id, {}, START + std::chrono::seconds(21), START + std::chrono::seconds(30)));
    BOOST_TEST(sentWithin10s(START + std::chrono::seconds(30)) == 1000U);
}

// Guards against hedges to a server that named a rate limit, and against a node that takes its servers' limits for a partition.
BOOST_AUTO_TEST_CASE(limitedServersAreSparedAndReachable)
{
    backend_table table(OWN_DOMAIN, 1);
    table.apply(entryOf("a"), START);
    table.noteAnnouncement(backend_server_id("a"), limitOf(1000), START, START);
    const time_point later = START + std::chrono::seconds(1);
    BOOST_TEST(!table.choose(SERVICE, {}, backend_table::suspended_server_policy::excluded, MEDIAN_LATENCY, later).has_value());
    BOOST_TEST(chosenServer(table, later) == "a");
    table.noteAnnouncement(backend_server_id("a"), limitOf(0), later, later);
    // By then it takes at most two requests of this node.
    for (int i = 0; i < 2; ++i) {
        chosenServer(table, later + std::chrono::seconds(4));
    }
    BOOST_TEST((table.waitableAt(SERVICE, later + std::chrono::seconds(4)) == time_point::max()));
    BOOST_TEST((table.availableAt(SERVICE, later + std::chrono::seconds(4)) < time_point::max()));
    BOOST_TEST(!table.seemsIsolated(later + std::chrono::seconds(4)));
}

// Guards against sending to an address that another server took when the store lists the old entry again.
BOOST_AUTO_TEST_CASE(reusedAddressIsRememberedWhenTheEntryIsListedAgain)
{
    backend_table table(OWN_DOMAIN, 1);
    table.apply(entryOf("a"), START);
    table.noteAddressReused(backend_server_id("a"));
    table.remove(backend_server_id("a"), START);
    table.apply(entryOf("a"), START);
    BOOST_TEST(chosenServer(table, START) == "");
    backend_entry report = entryOf("a");
    report.sequence += 1;
    table.apply(report, START);
    BOOST_TEST(chosenServer(table, START) == "a");
}

// Guards against dropping all servers at once because the store lost their entries during an outage.
BOOST_AUTO_TEST_CASE(missingEntriesAreKeptForAWhileAfterStoreOutage)
{
    backend_table table(OWN_DOMAIN, 1);
    table.apply(entryOf("a"), START);
    table.noteStoreUnavailable(START);
    const time_point back = START + std::chrono::seconds(5);
    table.noteStoreAvailable(back);
    table.replaceAll({}, back);
    BOOST_TEST(table.expire(back + std::chrono::milliseconds(1900)).empty());
    BOOST_TEST(chosenServer(table, back + std::chrono::milliseconds(1900)) == "a");
    BOOST_TEST(table.expire(back + std::chrono::milliseconds(3000)).size() == 1U);
    BOOST_TEST(chosenServer(table, back + std::chrono::milliseconds(3000)) == "");
}

// Guards against dropping a server that was listed again after an outage of the store.
BOOST_AUTO_TEST_CASE(relistedEntriesAreKept)
{
    backend_table table(OWN_DOMAIN, 1);
    table.apply(entryOf("a"), START);
    table.noteStoreUnavailable(START);
    table.remove(backend_server_id("a"), START + std::chrono::seconds(4));
    table.noteStoreAvailable(START + std::chrono::seconds(5));
    table.apply(entryOf("a"), START + std::chrono::seconds(6));
    BOOST_TEST(table.expire(START + std::chrono::seconds(60)).empty());
    BOOST_TEST(chosenServer(table, START + std::chrono::seconds(60)) == "a");
}

// Guards against keeping a removed server although the store is available.
BOOST_AUTO_TEST_CASE(removedServersAreDroppedImmediately)
{
    backend_table table(OWN_DOMAIN, 1);
    table.apply(entryOf("a"), START);
    table.remove(backend_server_id("a"), START);
    BOOST_TEST(chosenServer(table, START) == "");
    backend_entry late = entryOf("a");
    late.sequence = 4;
    BOOST_TEST(!table.apply(late, START));
}

// Guards against requests to a stalled server while another one is available.
BOOST_AUTO_TEST_CASE(stalledServersAreAvoided)
{
    backend_table table(OWN_DOMAIN, 1);
    table.apply(entryOf("a", OWN_DOMAIN), START);
    table.apply(entryOf("b", OTHER_DOMAIN), START);
    table.health(backend_server_id("a"))->sent(START);
    BOOST_TEST(chosenServer(table, START + 5 * MEDIAN_LATENCY) == "b");
}

// Guards against requests to unreachable servers while others are available, and against suspending unreachable servers forever.
BOOST_AUTO_TEST_CASE(unreachableServersAreSuspendedForAWhile)
{
    backend_table table(OWN_DOMAIN, 1);
    table.apply(entryOf("a", OWN_DOMAIN), START);
    backend_health *health = table.health(backend_server_id("a"));
    health->sent(START);
    health->ended(START, START, attempt_outcome::unreachable, 0);
    BOOST_TEST(health->suspended(START));
    BOOST_TEST(!table.choose(SERVICE, {}, backend_table::suspended_server_policy::excluded, MEDIAN_LATENCY, START).has_value());
    BOOST_TEST(chosenServer(table, START) == "a");
    BOOST_TEST(!health->suspended(START + std::chrono::seconds(3)));
}

// Guards against opening more connections to a server than this node's share.
BOOST_AUTO_TEST_CASE(connectionsAreLimitedToShare)
{
    backend_table table(OWN_DOMAIN, 1);
    table.apply(entryOf("a"), START);
    service_rules rules;
    rules.maxConnections = 26;
    table.setServiceRules({{SERVICE, rules}}, 1.5, 5);
    table.setNodeCount(7);
    BOOST_TEST(table.connectionShare(SERVICE) == 3U);
    for (int i = 0; i < 3; ++i) {
        table.health(backend_server_id("a"))->sent(START);
    }
    BOOST_TEST(chosenServer(table, START) == "");
}

// Guards against cold servers that get more requests than their warm-up limit from all nodes together, in any interval of one second.
BOOST_AUTO_TEST_CASE(coldServersStayWithinWarmUpRate)
{
    constexpr std::size_t NODES = 3;
    constexpr double RATE = 20;
    constexpr double OVERRUN = 1.5;
    constexpr double SLACK = 5;
    std::vector<std::unique_ptr<backend_table>> nodes;
    for (std::size_t i = 0; i < NODES; ++i) {
        nodes.push_back(std::make_unique<backend_table>(OWN_DOMAIN, i));
        backend_entry cold = entryOf("a");
        cold.warmUpLeft = std::chrono::seconds(30);
        nodes.back()->apply(cold, START);
        service_rules rules;
        rules.warmUpRequestsPerSecond = RATE;
        nodes.back()->setServiceRules({{SERVICE, rules}}, OVERRUN, SLACK);
        nodes.back()->setNodeCount(NODES);
    }
    std::vector<time_point> sent;
    for (time_point now = START; now < START + std::chrono::seconds(5); now += std::chrono::milliseconds(5)) {
        for (const auto &node : nodes) {
            if (node->choose(SERVICE, {}, backend_table::suspended_server_policy::avoided, MEDIAN_LATENCY, now)) {
                sent.push_back(now);
            }
        }
    }
    std::size_t maxPerSecond = 0;
    for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
        while (sent[last] - sent[first] >= std::chrono::seconds(1)) {
            ++first;
        }
        maxPerSecond = std::max(maxPerSecond, last - first + 1);
    }
    BOOST_TEST(static_cast<double>(maxPerSecond) <= RATE * OVERRUN + SLACK);
    BOOST_TEST(sent.size() > 20U);
}

struct replaced_case
{
    const char *name;
    std::uint64_t startedMs;
    std::uint64_t sequence;
    const char *address;
    bool chosenAgain;
};

std::ostream &operator<<(std::ostream &out, const replaced_case &row)
{
    return out << row.name;
}

const replaced_case REPLACED_CASES[] = {
    {"the same report again", 100, 5, "10.0.0.1:1001", false},
    {"a newer report", 100, 6, "10.0.0.1:1001", true},
    {"a report of a later run", 200, 1, "10.0.0.1:1001", true},
    {"another address", 100, 5, "10.0.0.1:9", true},
};

// Guards against requests to a stopped server while the store is unavailable: each one is an extra request to the server that reuses the address.
BOOST_DATA_TEST_CASE(replacedServersGetNoRequestsUntilTheyReport, boost::unit_test::data::make(REPLACED_CASES), row)
{
    backend_table table(OWN_DOMAIN, 1);
    backend_entry entry = entryOf("a");
    table.apply(entry, START);
    table.noteAddressReused(backend_server_id("a"));
    BOOST_TEST(chosenServer(table, START) == "");
    BOOST_TEST(!table.hasReachableServer(SERVICE, START));
    entry.startedMs = row.startedMs;
    entry.sequence = row.sequence;
    entry.address = row.address;
    table.apply(entry, START);
    BOOST_TEST((chosenServer(table, START) == "a") == row.chosenAgain);
}

BOOST_AUTO_TEST_SUITE_END()
