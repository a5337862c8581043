#include <algorithm>
#include <ostream>
#include <thread>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/stand_ins/client_crowd.h"
#include "tests/stand_ins/raw_client.h"
#include "tests/uncontrolled_clients/small_node.h"

using namespace snipefall;
using reading = client_crowd::reading;
using std::chrono::seconds;

namespace {

constexpr std::size_t CROWD = 200;
constexpr unsigned DESCRIPTORS = 2048; ///< Enough for the whole crowd, so that it is memory that runs short.
/** A crowd whose receive buffers alone would exceed the memory, and the descriptors for it. */
constexpr std::size_t LARGE_CROWD = 2000;
constexpr unsigned MANY_DESCRIPTORS = 4400;
constexpr seconds PRESSURE_TIME(6);
constexpr std::size_t MAX_BODY_BYTES = 262144;
constexpr std::size_t MAX_HEADER_BYTES = 131072;
/** Records of 16 bytes: in an answer of 4 MB, and in a shard's answer of 512 KB. */
constexpr std::size_t LONG_ANSWER_RECORDS = 262144;
constexpr std::size_t LONG_PART_RECORDS = 32768;
constexpr std::chrono::milliseconds LONG_WORK(2000);

const std::string ORDER_HEAD = "POST /order/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 60000\r\n";
const std::string QUERY_HEAD = "POST /query/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 60000\r\n";
const std::string ORDER = ORDER_HEAD + "Content-Length: 0\r\n\r\n";
const std::string QUERY = QUERY_HEAD + "Content-Length: 0\r\n\r\n";

std::string repeated(const std::string &text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

std::string withBody(const std::string &head, std::size_t sentBytes)
{
    return head + "Content-Length: " + std::to_string(MAX_BODY_BYTES) + "\r\n\r\n" + std::string(sentBytes, 'a');
}

/** A chunked body of chunks of 1 KB, without its end. */
std::string withChunks(const std::string &head, std::size_t chunks)
{
    return head + "Transfer-Encoding: chunked\r\n\r\n" + repeated("400\r\n" + std::string(1024, 'a') + "\r\n", chunks);
}

const std::string MANY_FIELDS = repeated("X-Filler: " + std::string(1000, 'a') + "\r\n", 100);
const std::string MANY_REQUESTS = repeated("GET /nowhere/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: x\r\n\r\n", 4000);

struct crowd_case
{
    const char *name;
    client_crowd::behaviour shown;
    std::size_t records = 8; ///< Of each answer of a server.
    bool runsLong = false; ///< Whether the servers of the crowd's requests need seconds for each.
};

std::ostream &operator<<(std::ostream &out, const crowd_case &row)
{
    return out << row.name;
}

const crowd_case CROWD_CASES[] = {
    {"long answers, not read", {ORDER, "", reading::nothing}, LONG_ANSWER_RECORDS},
    {"long answers, read slowly", {ORDER, "", reading::slowly}, LONG_ANSWER_RECORDS},
    {"long answers, pipelined and not read", {repeated(ORDER, 50), "", reading::nothing}, LONG_ANSWER_RECORDS},
    {"long answers, pipelined and read slowly", {repeated(ORDER, 50), ORDER, reading::slowly}, LONG_ANSWER_RECORDS},
    {"long answers, abandoned", {ORDER, "", reading::leaves}, LONG_ANSWER_RECORDS},
    {"queries with long parts, not read", {QUERY, "", reading::nothing}, LONG_PART_RECORDS},
    {"queries with long parts, abandoned", {QUERY, "", reading::leaves}, LONG_PART_RECORDS},
    {"bodies without their last byte", {withBody(ORDER_HEAD, MAX_BODY_BYTES - 1), "", reading::nothing}},
    {"chunked bodies without their end", {withChunks(ORDER_HEAD, 255), "", reading::nothing}},
    {"bodies that drip", {withBody(ORDER_HEAD, MAX_BODY_BYTES / 2), "a", reading::nothing}},
    {"chunked bodies that drip", {withChunks(ORDER_HEAD, 200), "1\r\na\r\n", reading::nothing}},
    {"trailers that drip", {withChunks(ORDER_HEAD, 200) + "0\r\n", "a:b\r\n", reading::nothing}},
    {"headers that drip", {ORDER_HEAD + MANY_FIELDS, "a:b\r\n", reading::nothing}},
    {"long bodies of requests that run for long", {withBody(ORDER_HEAD, MAX_BODY_BYTES), "", reading::nothing}, 8, true},
    {"long bodies of queries that run for long", {withBody(QUERY_HEAD, MAX_BODY_BYTES), "", reading::nothing}, 8, true},
    {"long bodies behind each other", {withBody(ORDER_HEAD, MAX_BODY_BYTES) + withBody(ORDER_HEAD, MAX_BODY_BYTES), "", reading::nothing}, 8, true},
    {"requests behind each other", {MANY_REQUESTS, "", reading::nothing}},
};

const crowd_case LARGE_CROWD_CASES[] = {
    {"long answers, read slowly", {ORDER, "", reading::slowly}, LONG_ANSWER_RECORDS},
    {"bodies that drip", {withBody(ORDER_HEAD, MAX_BODY_BYTES / 2), "a", reading::nothing}},
    {"headers that drip", {ORDER_HEAD + MANY_FIELDS, "a:b\r\n", reading::nothing}},
    {"requests behind each other", {MANY_REQUESTS, "", reading::nothing}},
};

site_emulator::options siteOf(const crowd_case &row)
{
    site_emulator::options options;
    options.nodeMemoryMb = small_node::MEMORY_MB;
    options.nodeDescriptors = DESCRIPTORS;
    options.unshardedRecords = row.records;
    options.records = std::min(row.records, LONG_PART_RECORDS);
    options.unshardedServers = 16;
    options.serversPerShard = 4;
    options.maxBodyBytes = MAX_BODY_BYTES;
    options.maxHeaderBytes = MAX_HEADER_BYTES;
    options.queryTimeout = seconds(8);
    return options;
}

/** Slows the servers of the crowd's requests down; the ordinary ones go to the others. */
void slowDown(small_node &running, const crowd_case &row)
{
    site_backend::faults slow;
    slow.addedLatency = LONG_WORK;
    running.ordinaryIsOrder = row.shown.opening.find("/query/") != std::string::npos;
    const std::vector<std::string> services = running.ordinaryIsOrder ? running.site.shards() : std::vector<std::string>{site_emulator::UNSHARDED_SERVICE};
    for (const std::string &service : services) {
        running.setFaults(service, slow);
    }
}

void checkCrowd(const crowd_case &row, std::size_t clients, const site_emulator::options &options)
{
    small_node running(options);
    if (row.runsLong) {
        slowDown(running, row);
    }
    client_crowd crowd(running.callerAddress(), clients, row.shown);
    std::this_thread::sleep_for(PRESSURE_TIME);
    BOOST_TEST(running.answersOrdinaryRequest());
    crowd.stop();
    BOOST_TEST_MESSAGE(row.name << ": peak of " << running.memory.peakMb() << " MB, unread bytes up to " << running.memory.peakUnreadBytes()
                                << ", answers begun " << crowd.answersBegun() << ", connections " << crowd.connectionsOpened());
    running.checkNode();
}

struct long_line_case
{
    const char *name;
    std::string request;
};

std::ostream &operator<<(std::ostream &out, const long_line_case &row)
{
    return out << row.name;
}

const std::string LONG_VALUE(70000, 'a');

const long_line_case LONG_LINE_CASES[] = {
    {"header field", ORDER_HEAD + "X-Filler: " + LONG_VALUE + "\r\n\r\n"},
    {"header field name", ORDER_HEAD + LONG_VALUE + ": a\r\n\r\n"},
    {"trailer field", ORDER_HEAD + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-Filler: " + LONG_VALUE + "\r\n\r\n"},
    {"trailer field name", ORDER_HEAD + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n" + LONG_VALUE + ": a\r\n\r\n"},
    {"target", "GET /order/" + LONG_VALUE + " HTTP/1.1\r\nHost: site.example\r\nRequest-Id: x\r\n\r\n"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(client_crowd_tests)

// Guards against a process whose memory grows with the number of clients that misbehave, and which serves nobody else meanwhile.
BOOST_DATA_TEST_CASE(crowdStaysWithinMemory, boost::unit_test::data::make(CROWD_CASES), row)
{
    checkCrowd(row, CROWD, siteOf(row));
}

// Guards against a bound that holds for a crowd only as long as the receive buffers of its connections are few.
BOOST_DATA_TEST_CASE(largeCrowdStaysWithinMemory, boost::unit_test::data::make(LARGE_CROWD_CASES), row)
{
    site_emulator::options options = siteOf(row);
    options.nodeDescriptors = MANY_DESCRIPTORS;
    checkCrowd(row, LARGE_CROWD, options);
}

// Guards against bodies that the directory, which any client may ask, holds without a bound.
BOOST_AUTO_TEST_CASE(bodiesSentToTheDirectoryStayWithinMemory)
{
    small_node running(siteOf(CROWD_CASES[0]));
    const std::string lookup = "POST /snipefall/resolve?name=site.example HTTP/1.1\r\nHost: directory\r\n";
    client_crowd crowd(running.site.addresses("node-0").directory, CROWD, {withBody(lookup, MAX_BODY_BYTES - 1), "", reading::nothing});
    std::this_thread::sleep_for(PRESSURE_TIME);
    BOOST_TEST(running.answersOrdinaryRequest());
    crowd.stop();
    BOOST_TEST_MESSAGE("peak of " << running.memory.peakMb() << " MB");
    running.checkNode();
}

// Guards against a process that a single long line ends.
BOOST_DATA_TEST_CASE(longLinesEndNoProcess, boost::unit_test::data::make(LONG_LINE_CASES), row)
{
    small_node running(siteOf(CROWD_CASES[0]));
    raw_client client(running.callerAddress());
    std::string unsent = row.request;
    BOOST_TEST(site_emulator::waitFor([&] {
        unsent.erase(0, client.send(unsent));
        return unsent.empty() || client.wasClosed();
    }));
    BOOST_TEST(site_emulator::waitFor([&] { return client.hasInput(); }));
    running.checkNode();
}

// Guards against a bound that refuses a single long answer or request while nothing is short.
BOOST_AUTO_TEST_CASE(singleLongAnswersAreServedInCalm)
{
    small_node running(siteOf(CROWD_CASES[0]));
    for (int i = 0; i < 3; ++i) {
        const site_caller::answer order = running.site.order("node-0");
        BOOST_TEST(order.status == 200U);
        BOOST_TEST(order.body.size() == LONG_ANSWER_RECORDS * 16);
        site_caller::request query = running.site.queryRequest();
        query.method = "POST";
        query.body = std::string(MAX_BODY_BYTES, 'a');
        query.deadline = seconds(8);
        BOOST_TEST(running.site.call(running.callerAddress(), query).status == 200U);
    }
    running.checkNode();
}

BOOST_AUTO_TEST_SUITE_END()
