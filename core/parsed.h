#pragma once

#include <optional>
#include <vector>

#include "core/invalid_field.h"

namespace snipefall {

/** The result of checking a JSON document: the value, or every invalid field at once. */
template <typename T>
struct parsed
{
    std::optional<T> value; ///< Present exactly when there are no invalid fields.
    std::vector<invalid_field> invalidFields;
};

} // namespace snipefall
