#pragma once

#include "core/strong_id.h"

namespace snipefall {

/** Name of an organisation whose callers authenticate with API keys. */
using organisation_id = strong_id<struct organisation_id_tag>;

} // namespace snipefall
