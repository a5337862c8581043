#include <algorithm>
#include <thread>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/stand_ins/raw_client.h"
#include "tests/uncontrolled_clients/small_node.h"

using namespace snipefall;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t CROWD = 20;
constexpr std::size_t BYTES_PER_CLIENT = 4U << 20U;
/** Records of 16 bytes in an answer of 4 MB. */
constexpr std::size_t LARGE_ANSWER_RECORDS = 262144;
/** Far below what the kernel buffers by default, so that unread bytes stay with the node. */
constexpr int SMALL_RECEIVE_BUFFER = 4096;
constexpr unsigned DESCRIPTORS = 300; ///< Of which 200 are for files.
constexpr std::size_t MAX_OPEN_DESCRIPTORS = 128;
constexpr std::size_t IDLE_CROWD = 200;
constexpr milliseconds POLL_INTERVAL(10);

site_emulator::options smallMachine()
{
    site_emulator::options options;
    options.nodeMemoryMb = small_node::MEMORY_MB;
    options.nodeDescriptors = DESCRIPTORS;
    options.unshardedRecords = LARGE_ANSWER_RECORDS;
    return options;
}

/** Checks the node of the smallest machine, which has fewer connections than its descriptors allow. */
void checkSmallest(small_node &running)
{
    BOOST_TEST(running.memory.openDescriptors() <= MAX_OPEN_DESCRIPTORS);
    BOOST_TEST(running.site.query("node-0").status == 200U);
    running.checkNode();
}

struct endless_case
{
    const char *name;
    std::string start;
    std::string repeated;
};

std::ostream &operator<<(std::ostream &out, const endless_case &row)
{
    return out << row.name;
}

const std::string REQUEST_HEAD = "POST /order/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: x\r\nDeadline-Ms: 60000\r\n";
const std::string CHUNKED_HEAD = REQUEST_HEAD + "Transfer-Encoding: chunked\r\n\r\n";
const std::string LINE = "X-Filler: " + std::string(1000, 'a') + "\r\n";

const endless_case ENDLESS_CASES[] = {
    {"trailers behind a chunked body", CHUNKED_HEAD + "2\r\nab\r\n0\r\n", LINE},
    {"a chunk extension", CHUNKED_HEAD + "2;x=", std::string(1000, 'a')},
    {"a chunk size line", CHUNKED_HEAD, std::string(1000, '0')},
    {"header lines", REQUEST_HEAD, LINE},
    {"a header line", REQUEST_HEAD + "X-Filler: ", std::string(1000, 'a')},
    {"short header fields", REQUEST_HEAD, "a:\r\n"},
    {"short trailers", CHUNKED_HEAD + "2\r\nab\r\n0\r\n", "a:\r\n"},
    {"pipelined requests", "", "GET /nowhere/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: x\r\n\r\n"},
};

struct silent_case
{
    const char *name;
    std::string start; ///< All that the client sends.
};

std::ostream &operator<<(std::ostream &out, const silent_case &row)
{
    return out << row.name;
}

const silent_case SILENT_CASES[] = {
    {"idle connections", ""},
    {"the beginning of a request", "G"},
};

std::vector<raw_client> crowdOf(std::size_t clients, const std::string &address, const std::string &start)
{
    std::vector<raw_client> crowd;
    for (std::size_t i = 0; i < clients; ++i) {
        crowd.emplace_back(address);
        crowd.back().send(start);
    }
    return crowd;
}

/** Lets each client send until it is closed, has sent its share, or can send no more for a while. */
void sendEndlessly(std::vector<raw_client> &crowd, const endless_case &row)
{
    std::string block;
    while (block.size() < 65536) {
        block += row.repeated;
    }
    auto lastProgress = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - lastProgress < std::chrono::seconds(2)) {
        std::size_t sent = 0;
        for (raw_client &client : crowd) {
            if (client.bytesSent() < BYTES_PER_CLIENT && !client.hasInput()) {
                sent += client.send(block);
            }
        }
        if (sent > 0) {
            lastProgress = std::chrono::steady_clock::now();
        } else {
            std::this_thread::sleep_for(POLL_INTERVAL);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(uncontrolled_client_tests)

// Guards against a process that runs out of memory because it keeps what clients send without an end.
BOOST_DATA_TEST_CASE(endlessInputStaysWithinMemory, boost::unit_test::data::make(ENDLESS_CASES), row)
{
    small_node running(smallMachine());
    std::vector<raw_client> crowd = crowdOf(CROWD, running.callerAddress(), row.start);
    sendEndlessly(crowd, row);
    checkSmallest(running);
}

// Guards against a process that runs out of memory because many clients read long answers slowly.
BOOST_AUTO_TEST_CASE(slowReadersStayWithinMemory)
{
    small_node running(smallMachine());
    running.site.configure([](json &configuration) { configuration["routes"][1]["timeout_ms"] = 60000; });
    std::vector<raw_client> crowd;
    for (std::size_t i = 0; i < CROWD; ++i) {
        crowd.emplace_back(running.callerAddress(), SMALL_RECEIVE_BUFFER);
        crowd.back().send("POST /order/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: slow-" + std::to_string(i)
                          + "\r\nDeadline-Ms: 60000\r\nContent-Length: 0\r\n\r\n");
    }
    BOOST_TEST(site_emulator::waitFor([&] { return std::all_of(crowd.begin(), crowd.end(), [](const raw_client &client) { return client.hasInput(); }); }));
    checkSmallest(running);
}

// Guards against a process without free descriptors, which can reach neither the store nor backend servers and accepts no further caller.
BOOST_DATA_TEST_CASE(silentConnectionsLeaveDescriptors, boost::unit_test::data::make(SILENT_CASES), row)
{
    small_node running(smallMachine());
    const std::vector<raw_client> crowd = crowdOf(IDLE_CROWD, running.callerAddress(), row.start);
    BOOST_TEST(site_emulator::waitFor([&] { return running.site.query("node-0").status == 200; }));
    checkSmallest(running);
}

BOOST_AUTO_TEST_SUITE_END()
