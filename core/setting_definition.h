#pragma once

#include <string>

#include "core/setting_kind.h"

namespace snipefall {

/** The definition of one setting of a program. Its flag is --name, its environment variable SNIPEFALL_NAME. */
struct setting_definition
{
    std::string name; ///< In kebab case, with the unit, if any, as the last part.
    setting_kind kind = setting_kind::text;
    std::string defaultValue;
    bool required = false;
    long minimum = 0; ///< Lower bound of an integer; ignored if maximum is 0.
    long maximum = 0; ///< Upper bound of an integer; 0 means that neither bound applies.
    std::string help; ///< Description in one sentence, for --help and the reference page.
};

} // namespace snipefall
