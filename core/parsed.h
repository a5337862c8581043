#pragma once

#include <optional>
#include <vector>

#include "core/invalid_field.h"

namespace snipefall {

/** The result of parsing a JSON document: the value, or all invalid fields. */
template <typename T>
struct parsed
{
    std::optional<T> value; ///< Set if and only if there are no invalid fields.
    std::vector<invalid_field> invalidFields;
};

} // namespace snipefall
