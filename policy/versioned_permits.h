#pragma once

#include "core/ids.h"
#include "policy/permit_record.h"

namespace snipefall {

/** A permit record and its version in the platform. Version 0 and an empty ring if the object does not exist. */
struct versioned_permits
{
    object_version version;
    permit_record record;
};

} // namespace snipefall
