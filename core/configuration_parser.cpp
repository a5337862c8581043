#include "core/configuration_parser.h"

#include <algorithm>

#include "core/field_reader.h"

namespace snipefall {

namespace {

using presence = field_reader::presence;

constexpr std::size_t MAX_NAME_BYTES = 64;
constexpr std::uint32_t MAX_DEADLINE_MS = 600'000;
constexpr std::uint32_t MAX_SLOTS = 1'024;
constexpr std::uint32_t MAX_CONNECTIONS = 10'000;
constexpr std::uint32_t MAX_QUEUED_QUERIES = 100'000;
constexpr std::uint32_t MIN_ENTRY_TTL_MS = 100;
constexpr std::uint32_t MAX_ENTRY_TTL_MS = 3'600'000;
constexpr const char *NAME_FORMAT = "a name of 1 to 64 letters, digits, '-', '_' or '.'";

/** Whether the name is safe as a part of object keys and URLs, that is, contains no separators. */
bool isValidName(const std::string &name)
{
    const auto allowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.'; };
    return !name.empty() && name.size() <= MAX_NAME_BYTES && std::all_of(name.begin(), name.end(), allowed);
}

void readAnswerPolicy(const field_reader &fields, const json &object, answer_policy &target)
{
    const auto found = object.find("answer_policy");
    if (found == object.end()) {
        return;
    }
    const auto policy = found->is_string() ? parseAnswerPolicy(found->get_ref<const std::string &>()) : std::nullopt;
    if (!policy) {
        fields.reportInvalid("answer_policy", "wait_for_coverage or answer_in_time");
        return;
    }
    target = *policy;
}

service_settings readService(const json &object, const json::json_pointer &path, std::vector<invalid_field> &invalid)
{
    service_settings settings;
    const field_reader fields(object, path, invalid);
    if (!fields.requireObject()) {
        return settings;
    }
    fields.reportUnknownFields({"version",
                                "answer_policy",
                                "min_coverage",
                                "deadline_ms",
                                "good_enough_ms",
                                "slots_per_server",
                                "connections_per_server",
                                "max_queued_queries",
                                "open"});
    const std::size_t invalidBefore = invalid.size();
    std::string version;
    fields.readStringField("version", presence::required, MAX_NAME_BYTES, version);
    if (!version.empty() && !isValidName(version)) {
        fields.reportInvalid("version", NAME_FORMAT);
    }
    settings.version = version_id(version);
    readAnswerPolicy(fields, object, settings.policy);
    fields.readFractionField("min_coverage", settings.minCoverage);
    fields.readIntegerField("deadline_ms", presence::optional, 1U, MAX_DEADLINE_MS, settings.deadlineMs);
    fields.readIntegerField("good_enough_ms", presence::optional, 1U, MAX_DEADLINE_MS, settings.goodEnoughMs);
    fields.readIntegerField("slots_per_server", presence::optional, 1U, MAX_SLOTS, settings.slotsPerServer);
    fields.readIntegerField("connections_per_server", presence::optional, 1U, MAX_CONNECTIONS, settings.connectionsPerServer);
    fields.readIntegerField("max_queued_queries", presence::optional, 0U, MAX_QUEUED_QUERIES, settings.maxQueuedQueries);
    fields.readBooleanField("open", settings.open);
    if (invalid.size() == invalidBefore && settings.policy == answer_policy::answer_in_time && settings.goodEnoughMs > settings.deadlineMs) {
        fields.reportInvalid("good_enough_ms", "at most deadline_ms, which is " + std::to_string(settings.deadlineMs), settings.goodEnoughMs);
    }
    return settings;
}

void readServices(const json &object, std::vector<invalid_field> &invalid, configuration &target)
{
    const json::json_pointer path("/services");
    const field_reader fields(object, path, invalid);
    if (!fields.requireObject()) {
        return;
    }
    for (const auto &[name, value] : object.items()) {
        if (!isValidName(name)) {
            fields.reportInvalid(name, std::string("under ") + NAME_FORMAT);
            continue;
        }
        target.services.emplace(service_id(name), readService(value, path / name, invalid));
    }
}

void readExcludedDomains(const json &object, std::vector<invalid_field> &invalid, configuration &target)
{
    const field_reader fields(object, json::json_pointer("/domains_out"), invalid);
    if (!fields.requireObject()) {
        return;
    }
    for (const auto &[name, value] : object.items()) {
        if (!isValidName(name)) {
            fields.reportInvalid(name, std::string("under ") + NAME_FORMAT);
            continue;
        }
        bool excluded = false;
        fields.readBooleanField(name.c_str(), excluded);
        if (excluded) {
            target.excludedDomains.insert(failure_domain_id(name));
        }
    }
}

} // namespace

parsed<configuration> configuration_parser::parse(const json &document, config_version version)
{
    parsed<configuration> result;
    configuration value;
    value.version = version;
    const field_reader fields(document, json::json_pointer(), result.invalidFields);
    if (!fields.requireObject()) {
        return result;
    }
    fields.reportUnknownFields({"services", "domains_out", "entry_ttl_ms"});
    if (const auto services = document.find("services"); services != document.end()) {
        readServices(*services, result.invalidFields, value);
    }
    if (const auto domains = document.find("domains_out"); domains != document.end()) {
        readExcludedDomains(*domains, result.invalidFields, value);
    }
    fields.readIntegerField("entry_ttl_ms", presence::optional, MIN_ENTRY_TTL_MS, MAX_ENTRY_TTL_MS, value.entryTtlMs);
    if (result.invalidFields.empty()) {
        result.value = std::move(value);
    }
    return result;
}

} // namespace snipefall
