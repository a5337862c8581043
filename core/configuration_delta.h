#pragma once

#include <optional>
#include <vector>

#include "core/configuration_snapshot.h"

namespace snipefall {

/** Brings a lagging replica up to date: the patches that it lacks, or a snapshot if the sender no longer retains all of them. */
struct configuration_delta
{
    std::vector<configuration_patch> patches;
    std::optional<configuration_snapshot> snapshot;
};

} // namespace snipefall
