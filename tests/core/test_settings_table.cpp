#include <map>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/settings_table.h"

using namespace snipefall;

namespace {

const settings_table TABLE("tested",
                           {{"name", setting_kind::text, "", true, 0, 0, "A name."},
                            {"address", setting_kind::address, "127.0.0.1:1", false, 0, 0, "An address."},
                            {"peers", setting_kind::address_list, "", false, 0, 0, "Addresses."},
                            {"wait-ms", setting_kind::integer, "5", false, 1, 10, "A time."},
                            {"quick", setting_kind::flag, "false", false, 0, 0, "A flag."},
                            {"key-file", setting_kind::file, "", false, 0, 0, "A file."}});

struct settings_case
{
    const char *name;
    std::vector<std::string> environment;
    std::vector<std::string> arguments;
    std::map<std::string, std::string> expected; ///< Expected values; empty if the settings are rejected.
    std::string problems; ///< The complete error message if the settings are rejected.
};

std::ostream &operator<<(std::ostream &out, const settings_case &row)
{
    return out << row.name;
}

const settings_case SETTINGS_CASES[] = {
    {"defaults", {}, {"--name", "n"}, {{"wait-ms", "5"}, {"quick", "false"}, {"address", "127.0.0.1:1"}, {"peers", ""}}, ""},
    {"environment over default",
     {"SNIPEFALL_NAME=e", "SNIPEFALL_WAIT_MS=6", "SNIPEFALL_QUICK=1"},
     {},
     {{"name", "e"}, {"wait-ms", "6"}, {"quick", "true"}},
     ""},
    {"command line over environment", {"SNIPEFALL_NAME=e", "SNIPEFALL_WAIT_MS=6"}, {"--wait-ms=7"}, {{"name", "e"}, {"wait-ms", "7"}}, ""},
    {"the last of two flags", {}, {"--name", "n", "--wait-ms", "7", "--wait-ms", "8"}, {{"wait-ms", "8"}}, ""},
    {"invalid environment under a valid flag", {"SNIPEFALL_WAIT_MS=many"}, {"--name=n", "--wait-ms", "2"}, {{"wait-ms", "2"}}, ""},
    {"other program's variable", {"SNIPEFALL_BUILD_DIR=x", "NAME=y"}, {"--name", "n"}, {{"name", "n"}}, ""},
    {"range ends", {}, {"--name", "n", "--wait-ms", "1"}, {{"wait-ms", "1"}}, ""},
    {"upper end", {}, {"--name", "n", "--wait-ms", "10"}, {{"wait-ms", "10"}}, ""},
    {"list", {}, {"--name", "n", "--peers", "10.0.0.1:1,[::1]:65535"}, {{"peers", "10.0.0.1:1,[::1]:65535"}}, ""},
    {"help needs nothing else", {}, {"--help", "--wait-ms", "99"}, {{"help", "true"}}, ""},
    {"required", {}, {}, {}, "--name: is required"},
    {"below", {}, {"--name", "n", "--wait-ms", "0"}, {}, "--wait-ms: 0 is outside 1 to 10"},
    {"above", {}, {"--name", "n", "--wait-ms", "11"}, {}, "--wait-ms: 11 is outside 1 to 10"},
    {"no integer", {}, {"--name", "n", "--wait-ms", "5s"}, {}, "--wait-ms: \"5s\" is not an integer"},
    {"environment flag", {"SNIPEFALL_QUICK=yes"}, {"--name", "n"}, {}, "--quick: \"yes\" is not true or false"},
    {"port 0", {}, {"--name", "n", "--address", "1.2.3.4:0"}, {}, "--address: \"1.2.3.4:0\" is not ip:port"},
    {"port 65536", {}, {"--name", "n", "--address", "1.2.3.4:65536"}, {}, "--address: \"1.2.3.4:65536\" is not ip:port"},
    {"host name", {}, {"--name", "n", "--address", "node:1"}, {}, "--address: \"node:1\" is not ip:port"},
    {"second of a list", {}, {"--name", "n", "--peers", "1.2.3.4:1,1.2.3.4"}, {}, "--peers: \"1.2.3.4\" is not ip:port"},
    {"no such file", {}, {"--name", "n", "--key-file", "/nonexistent"}, {}, "--key-file: can't read \"/nonexistent\""},
    {"missing value", {}, {"--name", "n", "--wait-ms"}, {}, "--wait-ms: needs a value"},
    {"nearest name", {}, {"--name", "n", "--wait-m=3"}, {{"wait-ms", "3"}}, ""}, // getopt_long accepts unambiguous prefixes.
    {"misspelt", {}, {"--name", "n", "--wiat-ms=3"}, {}, "--wiat-ms=3: unknown setting; did you mean --wait-ms?"},
    {"nothing near", {}, {"--name", "n", "--bandwidth"}, {}, "--bandwidth: unknown setting"},
    {"all at once",
     {"SNIPEFALL_ADDRESS=x"},
     {"--qiuck", "--wait-ms", "0", "--key-file", "/nonexistent"},
     {},
     "--qiuck: unknown setting; did you mean --quick?\n--name: is required\n--address: \"x\" is not ip:port\n--wait-ms: 0 is outside 1 to 10\n"
     "--key-file: can't read \"/nonexistent\""},
};

std::vector<char *> pointersTo(std::vector<std::string> &texts)
{
    std::vector<char *> pointers;
    pointers.reserve(texts.size() + 1);
    for (std::string &text : texts) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings_table_tests)

// Guards against a wrong precedence (default < environment < command line) and against an error message that leaves out problems.
BOOST_DATA_TEST_CASE(sourcePrecedenceAndProblems, SETTINGS_CASES)
{
    std::vector<std::string> arguments = sample.arguments;
    arguments.insert(arguments.begin(), "tested");
    std::vector<std::string> variables = sample.environment;
    std::vector<char *> argv = pointersTo(arguments);
    std::vector<char *> environment = pointersTo(variables);
    const outcome<setting_values> values = TABLE.parse(static_cast<int>(arguments.size()), argv.data(), environment.data());
    BOOST_TEST((values ? "" : values.reason().message) == sample.problems);
    for (const auto &[name, value] : sample.expected) {
        BOOST_REQUIRE(values);
        BOOST_TEST(values->text(name) == value);
    }
}

// Guards against settings that are missing from the help text or the reference page.
BOOST_AUTO_TEST_CASE(describesEverySetting)
{
    for (const std::string name : {"name", "address", "peers", "wait-ms", "quick", "key-file", "help"}) {
        BOOST_TEST(TABLE.help().find("--" + name) != std::string::npos);
        const std::string cells = "| `--" + name + "` | `" + settings_table::environmentName(name) + "` |";
        BOOST_TEST(TABLE.referencePage().find(cells) != std::string::npos);
    }
    BOOST_TEST(TABLE.help().find("A name. Required.") != std::string::npos);
    BOOST_TEST(TABLE.help().find("A time. Default 5.") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
