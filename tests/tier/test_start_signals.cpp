#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <unistd.h>

#include "tests/stand_ins/child_process.h"
#include "tests/stand_ins/free_port.h"
#include "tests/stand_ins/site_emulator.h"

using namespace snipefall;

namespace {

struct start_signal_case
{
    const char *name;
    std::vector<int> signals;
    bool ends;
};

std::ostream &operator<<(std::ostream &out, const start_signal_case &row)
{
    return out << row.name;
}

const start_signal_case START_SIGNALS[] = {
    {"none", {}, false},
    {"a reload", {SIGHUP}, false},
    {"three reloads", {SIGHUP, SIGHUP, SIGHUP}, false},
    {"a stop", {SIGTERM}, true},
    {"an interrupt", {SIGINT}, true},
    {"a reload and a stop", {SIGHUP, SIGTERM}, true},
};

} // namespace

BOOST_AUTO_TEST_SUITE(start_signals_tests)

// Guards against a signal that ends a starting process by its default action because the handler isn't installed yet.
BOOST_DATA_TEST_CASE(signalBeforeHandlersIsHandledLater, boost::unit_test::data::make(START_SIGNALS), row)
{
    site_emulator site({});
    site.startNodeSlowly("node-0", "zone-0", [&] {
        for (const int number : row.signals) {
            site.node("node-0").signal(number);
        }
    });
    if (row.ends) {
        BOOST_TEST(site.node("node-0").wait() == 0);
        return;
    }
    BOOST_TEST(site.waitReady("node-0"));
    if (!row.signals.empty()) {
        BOOST_TEST(site_emulator::waitFor([&] { return site.logOf("node-0").find("event=settings.reloaded cause=signal") != std::string::npos; }));
    }
    BOOST_TEST(site.node("node-0").running());
}

// Guards against a node without a platform that keeps SIGHUP blocked, so that a hang-up of its terminal no longer ends it.
BOOST_AUTO_TEST_CASE(hangupEndsNodeWithoutPlatform)
{
    const std::filesystem::path directory = std::filesystem::temp_directory_path() / ("snipefall-hangup-" + std::to_string(getpid()));
    std::filesystem::create_directories(directory);
    const std::string key = (directory / "peer.key").string();
    const std::string log = (directory / "log").string();
    std::ofstream(key) << "k1:" << std::string(64, 'a') << "\n";
    std::filesystem::permissions(key, std::filesystem::perms::owner_read);
    const std::vector<std::string> arguments = {"--node-id",
                                                "node-1",
                                                "--domain",
                                                "domain-1",
                                                "--caller-address",
                                                freeAddress(),
                                                "--operator-address",
                                                freeAddress(),
                                                "--peer-address",
                                                freeAddress(),
                                                "--platform-address",
                                                freeAddress(),
                                                "--peer-key-file",
                                                key};
    child_process node("snipefalld", arguments, log);
    const bool started = site_emulator::waitFor([&] {
        std::ostringstream text;
        text << std::ifstream(log).rdbuf();
        return text.str().find("node.started") != std::string::npos;
    });
    BOOST_TEST(started);
    node.signal(SIGHUP);
    const bool ended = site_emulator::waitFor([&] { return !node.running(); });
    BOOST_TEST(ended);
    if (ended) {
        BOOST_TEST(node.wait() == 128 + SIGHUP);
    }
    std::filesystem::remove_all(directory);
}

BOOST_AUTO_TEST_SUITE_END()
