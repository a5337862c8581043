#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/configuration_parser.h"
#include "core/configuration_patch.h"

using namespace snipefall;

namespace {

struct parse_case
{
    const char *text;
    const char *invalid; ///< The expected invalid fields, each as "path allowed", joined by '|'; '*' matches any allowed text.
};

std::ostream &operator<<(std::ostream &out, const parse_case &row)
{
    return out << row.text;
}

bool matches(const std::vector<invalid_field> &fields, std::string expected)
{
    for (const invalid_field &field : fields) {
        const std::string line = expected.substr(0, expected.find('|'));
        expected.erase(0, std::min(expected.size(), line.size() + 1));
        if (line != field.path + " *" && line != field.path + " " + field.allowed) {
            BOOST_TEST_MESSAGE("unexpected: " << toJson(field));
            return false;
        }
    }
    return expected.empty();
}

const parse_case DOCUMENTS[] = {
    {R"({})", ""},
    {R"({"services":{"a":{"version":"v1","answer_policy":"answer_in_time","min_coverage":1,"open":false}},"domains_out":{"d":true},"entry_ttl_ms":100})", ""},
    {R"([])", " an object"},
    {R"({"services":{"a":{}}})", "/services/a/version a string of 1 to 64 bytes"},
    {R"({"services":{"a":{"version":"v","deadline_ms":0,"min_coverage":1.5,"open":1,"slots_per_server":-1}},"entry_ttl_ms":"5"})",
     "/services/a/min_coverage a number from 0 to 1|/services/a/deadline_ms a whole number from 1 to 600000|/services/a/slots_per_server *"
     "|/services/a/open true or false|/entry_ttl_ms *"},
    {R"({"services":{"a":{"version":"v","deadline":5}},"domain_out":{}})",
     "/domain_out no such field; the nearest known name is domains_out|/services/a/deadline no such field; the nearest known name is deadline_ms"},
    {R"({"services":{"a/b":{"version":"v"},"":3},"domains_out":{"d":"yes","~":true}})",
     "/services/ *|/services/a~1b *|/domains_out/d true or false|/domains_out/~0 *"},
    {R"({"services":{"a":{"version":"v/1","answer_policy":"fast","deadline_ms":18446744073709551615}}})",
     "/services/a/version *|/services/a/answer_policy wait_for_coverage or answer_in_time|/services/a/deadline_ms *"},
    {R"({"services":{"a":{"version":"v","answer_policy":"answer_in_time","deadline_ms":100}}})",
     "/services/a/good_enough_ms at most deadline_ms, which is 100"},
    {R"({"services":{"a":{"version":"v","deadline_ms":100}}})", ""},
    {R"({"services":[1],"domains_out":["d"]})", "/services an object|/domains_out an object"},
};

const parse_case PATCHES[] = {
    {R"({"patch_id":"p","base_version":0,"author":"a","reason":"r","merge":{"services":null}})", ""},
    {R"({"patch_id":"","base_version":-1,"author":7,"merge":[],"submited_ms":1})",
     "/submited_ms no such field; the nearest known name is submitted_ms|/patch_id *|/base_version *|/author *|/reason *|/merge *"},
    {R"({"merge":{"a":{"a":{"a":{"a":{"a":{"a":{"a":{"a":{"a":1}}}}}}}}}})", "/merge at most 8 levels of nesting"},
    {R"(null)", " an object"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_parser_tests)

// Guards against a parser that stops at the first invalid field, or that silently ignores unknown fields.
BOOST_DATA_TEST_CASE(documentReportsEveryInvalidField, DOCUMENTS)
{
    const auto result = configuration_parser::parse(*parseJson(sample.text), config_version(3));
    BOOST_TEST(matches(result.invalidFields, sample.invalid));
    BOOST_TEST(result.value.has_value() == result.invalidFields.empty());
}

// Guards against a patch without an id, a base version or an author being accepted into the log.
BOOST_DATA_TEST_CASE(patchReportsEveryInvalidField, PATCHES)
{
    const auto result = parseConfigurationPatch(*parseJson(sample.text));
    BOOST_TEST(matches(result.invalidFields, sample.invalid));
    BOOST_TEST(result.value.has_value() == result.invalidFields.empty());
    if (result.value) {
        BOOST_TEST((parseConfigurationPatch(toJson(*result.value)).value == result.value));
    }
}

// Guards against a field that is validated but not copied into the configuration.
BOOST_AUTO_TEST_CASE(copiesEveryFieldOfTheDocument)
{
    const auto result = configuration_parser::parse(*parseJson(R"({"services":{"a":{"version":"v9","answer_policy":"answer_in_time","min_coverage":0.5,
        "deadline_ms":11,"good_enough_ms":10,"slots_per_server":12,"connections_per_server":13,"max_queued_queries":14,"open":false}},
        "domains_out":{"d":true,"e":false},"entry_ttl_ms":150})"),
                                                    config_version(3));
    BOOST_REQUIRE(result.value);
    const service_settings &a = result.value->services.at(service_id("a"));
    BOOST_TEST(a.version.str() == "v9");
    BOOST_TEST((a.policy == answer_policy::answer_in_time && a.minCoverage == 0.5 && !a.open));
    BOOST_TEST((a.deadlineMs == 11 && a.goodEnoughMs == 10 && a.slotsPerServer == 12 && a.connectionsPerServer == 13 && a.maxQueuedQueries == 14));
    BOOST_TEST((result.value->excludedDomains == std::set{failure_domain_id("d")}));
    BOOST_TEST((result.value->entryTtlMs == 150 && result.value->version == config_version(3)));
}

BOOST_AUTO_TEST_SUITE_END()
