#pragma once

#include <string>

#include "core/ids.h"

namespace snipefall {

/** Where a replica stands; equal positions prove that the replicas applied the same patches. */
struct configuration_position
{
    config_version version;
    std::string digest;

    bool operator==(const configuration_position &) const = default;
};

} // namespace snipefall
