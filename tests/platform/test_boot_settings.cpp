#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/json.h"
#include "platform/boot_settings.h"

using namespace snipefall;

namespace {

json completeFile()
{
    return json::parse(R"({
        "node_name": "n1", "zone": "z1", "zones": {"z1": "r"}, "unknown": [1],
        "listen_addrs": {"front": "10.1.0.9:8104", "ready": "10.1.0.9:8108", "control": "10.1.0.9:8106", "directory": "10.1.0.9:8100"},
        "seeds": ["10.1.0.9:8106", 7, "10.2.0.21:8106"],
        "limits": {"memory_mb": 260, "max_fds": 4100},
        "bounds": {"drain_ms": 3000, "grace_s": 6, "config_apply_ms": 2500, "retry_budget_ratio": 0.25, "retry_slack": 54, "retry_window_s": 9,
                   "warmup_overrun": 1.5, "warmup_slack": 5, "ttl_max_s": 4},
        "platform": {"address": "10.200.1.7:8102"}})");
}

struct malformed_case
{
    const char *name;
    const char *pointer;
    json value; ///< Null removes the field.
    const char *expectedField; ///< Field that the error message must name.
};

std::ostream &operator<<(std::ostream &out, const malformed_case &row)
{
    return out << row.name;
}

const malformed_case MALFORMED_CASES[] = {
    {"no node", "/node_name", nullptr, "/node_name"},
    {"a node that is no text", "/node_name", 5, "/node_name"},
    {"no address for callers", "/listen_addrs/front", nullptr, "/listen_addrs/front"},
    {"no store", "/platform/address", nullptr, "/platform/address"},
    {"a bound that is no number", "/bounds/grace_s", "six", "/bounds/grace_s"},
    {"a negative bound", "/bounds/retry_slack", -1, "/bounds/retry_slack"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(boot_settings_tests)

BOOST_AUTO_TEST_CASE(decodesAllFields)
{
    const outcome<boot_settings> read = decodeBootSettings(completeFile().dump());
    BOOST_REQUIRE(read.hasValue());
    BOOST_TEST(read->node.str() == "n1");
    BOOST_TEST(read->domain.str() == "z1");
    BOOST_TEST(read->deployment == R"({"z1":"r"})");
    BOOST_TEST(read->callerAddress == "10.1.0.9:8104");
    BOOST_TEST(read->peerAddress == "10.1.0.9:8106");
    BOOST_TEST(read->seedPeers.size() == 2U);
    BOOST_TEST(read->storeAddress == "10.200.1.7:8102");
    BOOST_TEST((read->graceTime == std::chrono::seconds(6)));
    BOOST_TEST((read->retryWindow == std::chrono::seconds(9)));
    BOOST_TEST(read->retryRatio == 0.25);
    BOOST_TEST(read->warmUpOverrun == 1.5);
    BOOST_TEST((read->maxDirectoryTtl == std::chrono::seconds(4)));
}

// Guards against a node that starts with defaults in place of addresses or bounds that are missing or malformed in its settings file.
BOOST_DATA_TEST_CASE(malformedFilesAreRefused, boost::unit_test::data::make(MALFORMED_CASES), row)
{
    json file = completeFile();
    const json::json_pointer at(row.pointer);
    if (row.value.is_null()) {
        file[at.parent_pointer()].erase(at.back());
    } else {
        file[at] = row.value;
    }
    const outcome<boot_settings> read = decodeBootSettings(file.dump());
    BOOST_REQUIRE(!read.hasValue());
    BOOST_TEST(read.reason().message.find(row.expectedField) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(invalidJsonIsRefused)
{
    BOOST_TEST(!decodeBootSettings("{").hasValue());
    BOOST_TEST(!decodeBootSettings("[]").hasValue());
    BOOST_TEST(!readBootSettings("/nonexistent/file").hasValue());
}

BOOST_AUTO_TEST_SUITE_END()
