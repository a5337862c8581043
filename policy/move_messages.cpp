#include "policy/move_messages.h"

#include <algorithm>

#include "core/configuration_patch.h"
#include "core/json.h"

namespace snipefall {

namespace {

constexpr duration BAD_VERSION_LIFETIME = std::chrono::hours(12);

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

} // namespace snipefall
