#pragma once

#include <string>

#include "core/configuration_patch.h"
#include "core/outcome.h"

namespace snipefall {

/** A configuration document at a version, with the digest of the patches that led to it. */
struct configuration_snapshot
{
    config_version version;
    json document = json::object();
    /** digest(n) = SHA-256(digest(n-1) + canonical text of patch n); empty at version 0. */
    std::string digest;

    /** Applies the patch when it is the next one; returns false and changes nothing otherwise. */
    bool apply(const configuration_patch &patch);
    bool operator==(const configuration_snapshot &) const = default;
};

json toJson(const configuration_snapshot &snapshot);
/** Reads what toJson() wrote; anything else gives invalid_argument. */
outcome<configuration_snapshot> parseConfigurationSnapshot(const json &value);

} // namespace snipefall
