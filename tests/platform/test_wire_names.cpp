#include <filesystem>
#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

namespace {

namespace fs = std::filesystem;

/** Names that only the platform uses; words that the project uses as well, such as "version", are left out. */
constexpr const char *PLATFORM_NAMES[] = {"Server-Stamp",    "Server-Leaving",    "Server-Limit", "Expect-Instance",    "Not-Executed",   "Part-Stamps",
                                          "Missing-Parts",   "Deadline-Ms",       "Warmup-Ms",    "/snipefall/",        "seq_no",         "warmup_left_ms",
                                          "warmup_per_s",    "path_prefix",       "route_kind",   "weighted_split",     "top_k",          "max_conns",
                                          "finish_by_s",     "target_latency_ms", "listen_addrs", "fault_tolerance",    "store_revision", "\"gather\"",
                                          "\"evacuations\"", "\"rollouts\"",      "stale_ok",     "retry_budget_ratio", "retry_slack\""};

std::string textOf(const fs::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(wire_names_tests)

// Guards against the platform's names being used outside of platform/, the only code that may depend on them.
BOOST_AUTO_TEST_CASE(platformNamesAreUsedOnlyInPlatformFolder)
{
    std::size_t files = 0;
    for (const char *folder : {"core", "blackboard", "policy", "http", "peer", "store", "tier", "node", "cli"}) {
        for (const auto &entry : fs::recursive_directory_iterator(fs::path(SNIPEFALL_SOURCE_DIR) / folder)) {
            const std::string extension = entry.path().extension().string();
            if (extension != ".h" && extension != ".cpp") {
                continue;
            }
            ++files;
            const std::string text = textOf(entry.path());
            for (const char *name : PLATFORM_NAMES) {
                BOOST_TEST(text.find(name) == std::string::npos, entry.path().string() + ": " + name);
            }
        }
    }
    BOOST_TEST(files > 100U);
}

BOOST_AUTO_TEST_SUITE_END()
