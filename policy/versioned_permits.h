#pragma once

#include "core/ids.h"
#include "policy/permit_record.h"

namespace snipefall {

/** A permit record as the platform holds it at one version; version 0 and an empty ring when it does not exist. */
struct versioned_permits
{
    object_version version;
    permit_record record;
};

} // namespace snipefall
