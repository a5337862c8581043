#pragma once

#include <optional>

#include "core/clock.h"

namespace snipefall {

/** How old a node's knowledge of the configured keys is, and how old it may be for a decision. */
struct credential_knowledge
{
    duration age{}; ///< Time since the configuration was last proved to be the newest.
    duration additionBound{}; ///< Older knowledge may lack a key that is in force.
    std::optional<duration> revocationBound; ///< Older knowledge must not accept any key; nothing if the deployment has no such rule.
};

} // namespace snipefall
