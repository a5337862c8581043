#include "core/configuration_patch.h"

#include <limits>

#include "core/field_reader.h"

namespace snipefall {

namespace {

using presence = field_reader::presence;

constexpr std::size_t MAX_ID_BYTES = 128;
constexpr std::size_t MAX_REASON_BYTES = 1'000;
// The configuration document has 3 levels. Merge patches that nest deeper than this limit are rejected before recursive code processes them.
constexpr int MAX_MERGE_DEPTH = 8;
// Version numbers in the keys of log objects have 12 digits, and the patch creates version MAX_BASE_VERSION + 1.
constexpr std::uint64_t MAX_BASE_VERSION = 999'999'999'998;

bool exceedsDepth(const json &value, int depth)
{
    if (!value.is_structured()) {
        return false;
    }
    if (depth == 0) {
        return true;
    }
    for (const json &child : value) {
        if (exceedsDepth(child, depth - 1)) {
            return true;
        }
    }
    return false;
}

} // namespace

std::string canonicalJson(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json toJson(const configuration_patch &patch)
{
    return {{"patch_id", patch.id.str()},
            {"base_version", patch.baseVersion.value()},
            {"author", patch.author},
            {"reason", patch.reason},
            {"merge", patch.merge},
            {"submitted_ms", patch.submittedMs}};
}

parsed<configuration_patch> parseConfigurationPatch(const json &value)
{
    parsed<configuration_patch> result;
    auto &invalid = result.invalidFields;
    if (exceedsDepth(value, MAX_MERGE_DEPTH + 1)) {
        invalid.push_back({"/merge", nullptr, "at most " + std::to_string(MAX_MERGE_DEPTH) + " levels of nesting"});
        return result;
    }
    const field_reader fields(value, json::json_pointer(), invalid);
    if (!fields.requireObject()) {
        return result;
    }
    if (canonicalJson(value).size() > MAX_PATCH_BYTES) {
        invalid.push_back({"", nullptr, "a patch of at most " + std::to_string(MAX_PATCH_BYTES) + " bytes"});
        return result;
    }
    configuration_patch patch;
    std::string id;
    std::uint64_t base = 0;
    fields.reportUnknownFields({"patch_id", "base_version", "author", "reason", "merge", "submitted_ms"});
    fields.readStringField("patch_id", presence::required, MAX_ID_BYTES, id);
    fields.readIntegerField("base_version", presence::required, std::uint64_t{0}, MAX_BASE_VERSION, base);
    fields.readStringField("author", presence::required, MAX_ID_BYTES, patch.author);
    fields.readStringField("reason", presence::required, MAX_REASON_BYTES, patch.reason);
    fields.readIntegerField("submitted_ms", presence::optional, std::uint64_t{0}, std::numeric_limits<std::uint64_t>::max(), patch.submittedMs);
    if (const auto merge = value.find("merge"); merge != value.end() && merge->is_object()) {
        patch.merge = *merge;
    } else {
        fields.reportInvalid("merge", "an object, applied as an RFC 7396 merge patch");
    }
    if (invalid.empty()) {
        patch.id = patch_id(id);
        patch.baseVersion = config_version(base);
        result.value = std::move(patch);
    }
    return result;
}

} // namespace snipefall
