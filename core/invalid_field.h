#pragma once

#include <string>

#include "core/json.h"

namespace snipefall {

/** A field of a JSON document that failed validation. */
struct invalid_field
{
    std::string path; ///< JSON pointer (RFC 6901); empty for the whole document.
    json value; ///< The value found; null when the field is missing.
    std::string allowed; ///< Description of the values that are allowed.

    bool operator==(const invalid_field &) const = default;
};

/** The JSON form that operators receive: {"path", "value", "allowed"}. */
inline json toJson(const invalid_field &field)
{
    return {{"path", field.path}, {"value", field.value}, {"allowed", field.allowed}};
}

} // namespace snipefall
