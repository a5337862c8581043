#pragma once

#include <string>

#include "core/configuration_patch.h"
#include "core/outcome.h"

namespace snipefall {

/** The configuration document at one version, with the digest of all patches up to that version. */
struct configuration_snapshot
{
    config_version version;
    json document = json::object();
    /** Hash chain over the patches: digest(n) = SHA-256(digest(n-1) + canonical text of patch n); empty at version 0. */
    std::string digest;

    /** Applies the patch if its base version is this version; otherwise changes nothing and returns false. */
    bool apply(const configuration_patch &patch);
    bool operator==(const configuration_snapshot &) const = default;
};

json toJson(const configuration_snapshot &snapshot);
/** Parses the output of toJson(). Fails with invalid_argument if a member is missing or has another type. */
outcome<configuration_snapshot> parseConfigurationSnapshot(const json &value);

} // namespace snipefall
