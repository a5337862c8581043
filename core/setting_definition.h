#pragma once

#include <string>

#include "core/setting_kind.h"

namespace snipefall {

/** One line of a program's table of settings. The flag is --name, the environment variable SNIPEFALL_NAME. */
struct setting_definition
{
    std::string name; ///< In kebab case, with the unit as its last part.
    setting_kind kind = setting_kind::text;
    std::string defaultValue;
    bool required = false;
    long minimum = 0; ///< For integers.
    long maximum = 0; ///< For integers; 0 means no limits.
    std::string help; ///< One sentence.
};

} // namespace snipefall
