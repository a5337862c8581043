#pragma once

#include <cstdint>
#include <string>

#include "core/ids.h"
#include "core/json.h"
#include "core/parsed.h"

namespace snipefall {

/** The largest patch in bytes of JSON text; a block of 100 log entries then stays readable in one list call. */
constexpr std::size_t MAX_PATCH_BYTES = 65'536;

/** A change of the configuration, as an operator submits it and as the log keeps it. */
struct configuration_patch
{
    patch_id id; ///< Chosen by the operator; the same id never applies twice.
    config_version baseVersion; ///< The version that the patch was written against; it becomes version baseVersion + 1.
    std::string author;
    std::string reason;
    json merge = json::object(); ///< RFC 7396 merge patch of the configuration document.
    std::uint64_t submittedMs = 0; ///< Wall-clock time of submission in milliseconds since 1970.

    /** The version that this patch makes. */
    config_version version() const { return baseVersion.next(); }
    bool operator==(const configuration_patch &) const = default;
};

json toJson(const configuration_patch &patch);
/** Checks all members and reports every invalid one; submitted_ms may be missing. */
parsed<configuration_patch> parseConfigurationPatch(const json &value);
/** The one text of a JSON value that digests are taken over: sorted keys, no spaces, invalid UTF-8 replaced. */
std::string canonicalText(const json &value);

} // namespace snipefall
