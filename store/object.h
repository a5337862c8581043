#pragma once

#include <string>

#include "core/ids.h"

namespace snipefall {

/** An object of the platform's store. */
struct object
{
    std::string key;
    object_version version; ///< Grows by one with each write of this key.
    std::string value; ///< At most 1 MB.
};

} // namespace snipefall
