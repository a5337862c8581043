#include "policy/move_messages.h"

#include <algorithm>

#include "core/configuration_patch.h"
#include "core/json.h"

namespace snipefall {

namespace {

constexpr duration BAD_VERSION_LIFETIME = std::chrono::hours(12);
/** An approval only has to outlast a short outage of the store. */
constexpr duration APPROVED_VERSION_LIFETIME = std::chrono::minutes(1);

json toJson(const version_counts &counts)
{
    return {{"answers", counts.answers}, {"errors", counts.errors}, {"latency", counts.latency.toJson()}};
}

json toJson(const counts_by_route &routes)
{
    json document = json::object();
    for (const auto &[route, counts] : routes) {
        document[route] = {{"old", toJson(counts.oldVersion)}, {"new", toJson(counts.newVersion)}, {"excess_dispersion", counts.excessDispersion}};
    }
    return document;
}

outcome<version_counts> parseCounts(const json &document)
{
    outcome<latency_histogram> latency = latency_histogram::fromJson(document.is_object() ? document.value("latency", json::object()) : json());
    if (!latency) {
        return latency.reason();
    }
    return version_counts{jsonValue<std::uint64_t>(document, "answers", 0), jsonValue<std::uint64_t>(document, "errors", 0), *latency};
}

outcome<counts_by_route> parseRoutes(const json &document)
{
    if (!document.is_object()) {
        return failure{error_code::invalid_argument, "counts by route are not an object"};
    }
    counts_by_route routes;
    for (const auto &[route, counts] : document.items()) {
        const outcome<version_counts> oldVersion = parseCounts(counts.is_object() ? counts.value("old", json()) : json());
        const outcome<version_counts> newVersion = parseCounts(counts.is_object() ? counts.value("new", json()) : json());
        if (!oldVersion || !newVersion) {
            return failure{error_code::invalid_argument, "the counts of route " + route + " are malformed"};
        }
        routes[route] = {*oldVersion, *newVersion, std::max(0.0, jsonValue<double>(counts, "excess_dispersion", 0))};
    }
    return routes;
}

} // namespace

std::string encodeObservations(const move_observations &observations)
{
    return canonicalJson({{"move_id", observations.moveId},
                          {"share_percent", observations.sharePercent},
                          {"step", toJson(observations.step)},
                          {"recent", toJson(observations.recent)}});
}

outcome<move_observations> decodeObservations(const std::string &payload)
{
    const outcome<json> document = parseJson(payload);
    if (!document || !document->is_object()) {
        return failure{error_code::invalid_argument, "observations are not a JSON object"};
    }
    outcome<counts_by_route> step = parseRoutes(document->value("step", json()));
    outcome<counts_by_route> recent = parseRoutes(document->value("recent", json()));
    if (!step || !recent) {
        return step ? recent.reason() : step.reason();
    }
    return move_observations{jsonValue<std::string>(*document, "move_id", ""),
                             jsonValue<std::uint32_t>(*document, "share_percent", 0),
                             std::move(step).value(),
                             std::move(recent).value()};
}

std::vector<std::string> encodeCountReport(const move_count_report &report, std::size_t maxBytes)
{
    json message{{"service", report.service.str()}, {"move_id", report.moveId}, {"route", report.route}, {"excess_dispersion", report.counts.excessDispersion}};
    json oldOnly = message;
    oldOnly["old"] = toJson(report.counts.oldVersion);
    json newOnly = message;
    newOnly["new"] = toJson(report.counts.newVersion);
    message["old"] = oldOnly["old"];
    message["new"] = newOnly["new"];
    std::string whole = canonicalJson(message);
    if (whole.size() <= maxBytes) {
        return {std::move(whole)};
    }
    return {canonicalJson(oldOnly), canonicalJson(newOnly)};
}

outcome<move_count_report> decodeCountReport(const std::string &payload)
{
    const outcome<json> document = parseJson(payload);
    if (!document || !document->is_object()) {
        return failure{error_code::invalid_argument, "a count report is not a JSON object"};
    }
    const outcome<version_counts> oldVersion = document->contains("old") ? parseCounts((*document)["old"]) : outcome<version_counts>(version_counts());
    const outcome<version_counts> newVersion = document->contains("new") ? parseCounts((*document)["new"]) : outcome<version_counts>(version_counts());
    if (!oldVersion || !newVersion) {
        return oldVersion ? newVersion.reason() : oldVersion.reason();
    }
    return move_count_report{service_id(jsonValue<std::string>(*document, "service", "")),
                             jsonValue<std::string>(*document, "move_id", ""),
                             jsonValue<std::string>(*document, "route", ""),
                             {*oldVersion, *newVersion, std::max(0.0, jsonValue<double>(*document, "excess_dispersion", 0))}};
}

std::string encodeBadVersion(const bad_version_fact &found)
{
    return canonicalJson({{"service", found.service.str()}, {"version", found.version.str()}, {"move_id", found.moveId}, {"reason", found.reason}});
}

outcome<bad_version_fact> decodeBadVersion(const std::string &payload)
{
    const outcome<json> document = parseJson(payload);
    if (!document || !document->is_object()) {
        return failure{error_code::invalid_argument, "a bad_version fact is not a JSON object"};
    }
    return bad_version_fact{service_id(jsonValue<std::string>(*document, "service", "")),
                            version_id(jsonValue<std::string>(*document, "version", "")),
                            jsonValue<std::string>(*document, "move_id", ""),
                            jsonValue<std::string>(*document, "reason", "")};
}

fact makeBadVersionFact(const bad_version_fact &found)
{
    return makeFact(fact_kind::bad_version, "bad_version/" + found.service.str() + "/" + found.moveId, encodeBadVersion(found), BAD_VERSION_LIFETIME);
}

fact makeApprovedVersionFact(const bad_version_fact &approved)
{
    return makeFact(fact_kind::approved_version,
                    "approved_version/" + approved.service.str() + "/" + approved.moveId,
                    encodeBadVersion(approved),
                    APPROVED_VERSION_LIFETIME);
}

} // namespace snipefall
