#pragma once

#include "core/strong_number.h"

namespace snipefall {

/** Counts how often the platform's store came back from an older copy of itself; 0 for a store that doesn't report it. */
using store_era = strong_number<struct store_era_tag>;

} // namespace snipefall
