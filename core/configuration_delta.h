#pragma once

#include <optional>
#include <vector>

#include "core/configuration_snapshot.h"

namespace snipefall {

/** What brings a replica that is behind up to date: the missing patches, or a snapshot when they are no longer kept. */
struct configuration_delta
{
    std::vector<configuration_patch> patches;
    std::optional<configuration_snapshot> snapshot;
};

} // namespace snipefall
