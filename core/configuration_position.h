#pragma once

#include <string>

#include "core/ids.h"

namespace snipefall {

/** The version of a replica and the digest of its patch history. Replicas with equal positions have applied the same patches. */
struct configuration_position
{
    config_version version;
    std::string digest;

    bool operator==(const configuration_position &) const = default;
};

} // namespace snipefall
