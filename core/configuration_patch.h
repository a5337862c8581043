#pragma once

#include <cstdint>
#include <string>

#include "core/ids.h"
#include "core/json.h"
#include "core/parsed.h"

namespace snipefall {

/** Largest patch in bytes of JSON text, so that one list call can return a block of 100 log entries. */
constexpr std::size_t MAX_PATCH_BYTES = 65'536;

/** A configuration change, as submitted by an operator and stored in the configuration log. */
struct configuration_patch
{
    patch_id id; ///< Idempotency key that the operator chooses; a patch with the same id is never applied twice.
    config_version baseVersion; ///< The version that the patch applies to; the patch creates version baseVersion + 1.
    std::string author;
    std::string reason;
    json merge = json::object(); ///< RFC 7396 merge patch of the configuration document.
    std::uint64_t submittedMs = 0; ///< Wall-clock time of submission in milliseconds since 1970.

    /** The version that results from applying this patch. */
    config_version version() const { return baseVersion.next(); }
    bool operator==(const configuration_patch &) const = default;
};

json toJson(const configuration_patch &patch);
/** Validates all members and reports every invalid one; only submitted_ms is optional. */
parsed<configuration_patch> parseConfigurationPatch(const json &value);
/** The canonical serialization of a JSON value, over which digests are computed: sorted keys, no spaces, invalid UTF-8 replaced. */
std::string canonicalJson(const json &value);

} // namespace snipefall
