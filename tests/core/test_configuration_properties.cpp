#include <boost/test/unit_test.hpp>

#include "core/configuration_parser.h"
#include "core/configuration_patch.h"
#include "core/configuration_snapshot.h"
#include "tests/parser_properties.h"

using namespace snipefall;

namespace {

const json PATCH = json::parse(R"({"patch_id": "p1", "base_version": 3, "author": "ana", "reason": "test", "submitted_ms": 5,
    "merge": {"services": {"desk": {"version": "v1", "deadline_ms": 100, "open": null}}, "entry_ttl_ms": 500}})");
const json SNAPSHOT = json::parse(R"({"version": 7, "document": {"services": {"desk": {"version": "v1"}}}, "digest": "00ff"})");
const json CONFIGURATION = json::parse(R"({"services": {"desk": {"version": "v1", "answer_policy": "answer_in_time", "min_coverage": 0.5, "deadline_ms": 900,
    "good_enough_ms": 100, "slots_per_server": 2, "connections_per_server": 4, "max_queued_queries": 0, "open": false}, "other": {"version": "v2"}},
    "domains_out": {"d1": true, "d2": false}, "entry_ttl_ms": 500})");

/** The value, or the first invalid field as a failure. A rejection without an invalid field gives a failure without a message, which the property rejects. */
template <typename T>
outcome<T> asOutcome(const parsed<T> &result)
{
    if (result.value.has_value() != result.invalidFields.empty()) {
        return failure{error_code::internal, ""};
    }
    return result.value ? outcome<T>(*result.value) : failure{error_code::invalid_argument, result.invalidFields.front().allowed};
}

outcome<configuration_patch> readPatch(const std::string &text)
{
    const outcome<json> document = parseJson(text);
    return document ? asOutcome(parseConfigurationPatch(*document)) : document.reason();
}

outcome<configuration_snapshot> readSnapshot(const std::string &text)
{
    const outcome<json> document = parseJson(text);
    return document ? parseConfigurationSnapshot(*document) : document.reason();
}

outcome<configuration> readConfiguration(const std::string &text)
{
    const outcome<json> document = parseJson(text);
    return document ? asOutcome(configuration_parser::parse(*document, config_version(3))) : document.reason();
}

json serviceJson(const service_settings &settings)
{
    return {{"version", settings.version.str()},
            {"answer_policy", toString(settings.policy)},
            {"min_coverage", settings.minCoverage},
            {"deadline_ms", settings.deadlineMs},
            {"good_enough_ms", settings.goodEnoughMs},
            {"slots_per_server", settings.slotsPerServer},
            {"connections_per_server", settings.connectionsPerServer},
            {"max_queued_queries", settings.maxQueuedQueries},
            {"open", settings.open}};
}

std::string writeConfiguration(const configuration &value)
{
    json services = json::object();
    for (const auto &[id, settings] : value.services) {
        services[id.str()] = serviceJson(settings);
    }
    json domains = json::object();
    for (const failure_domain_id &domain : value.excludedDomains) {
        domains[domain.str()] = true;
    }
    return json{{"services", services}, {"domains_out", domains}, {"entry_ttl_ms", value.entryTtlMs}}.dump();
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_properties)

// Guards against a malformed patch from an operator or a peer that crashes the node, and against patches that change in a round trip through the log.
BOOST_AUTO_TEST_CASE(patchRoundTrip)
{
    const auto write = [](const configuration_patch &patch) { return toJson(patch).dump(); };
    checkParser("a patch reads back as written", PATCH, readPatch, write, std::equal_to<>());
}

// Guards against a malformed snapshot from a peer that crashes the node, and against snapshots that change when they are sent on to another peer.
BOOST_AUTO_TEST_CASE(snapshotRoundTrip)
{
    const auto write = [](const configuration_snapshot &snapshot) { return toJson(snapshot).dump(); };
    checkParser("a snapshot reads back as written", SNAPSHOT, readSnapshot, write, std::equal_to<>());
}

// Guards against a document that crashes the node, is rejected without an invalid field, or yields settings that the parser itself would reject.
BOOST_AUTO_TEST_CASE(configurationRoundTrip)
{
    const auto equals = [](const configuration &a, const configuration &b) { return writeConfiguration(a) == writeConfiguration(b); };
    checkParser("a configuration reads back as written", CONFIGURATION, readConfiguration, writeConfiguration, equals);
}

BOOST_AUTO_TEST_SUITE_END()
