#pragma once

#include <optional>

#include "policy/organisations/organisation_id.h"

namespace snipefall {

/** A customer whose callers authenticate with API keys. */
struct organisation
{
    organisation_id id;
    std::optional<int> rank; ///< Priority that takes precedence over that of the route; 0 is the highest.
};

} // namespace snipefall
