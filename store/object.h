#pragma once

#include <string>

#include "core/ids.h"

namespace snipefall {

/** An object in the platform's object store. */
struct object
{
    std::string key;
    object_version version; ///< Incremented by each write of this key.
    std::string value; ///< At most 1 MB.
};

} // namespace snipefall
