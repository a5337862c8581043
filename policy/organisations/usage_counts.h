#pragma once

#include <cstdint>
#include <map>

#include "policy/organisations/organisation_id.h"

namespace snipefall {

/** Requests that backend servers began to run, by the organisation of their caller. */
using usage_counts = std::map<organisation_id, std::uint64_t>;

} // namespace snipefall
