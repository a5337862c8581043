#pragma once

#include <string>

#include "core/json.h"

namespace snipefall {

/** One field of a JSON document that is not allowed as it stands. */
struct invalid_field
{
    std::string path; ///< JSON pointer (RFC 6901); empty for the whole document.
    json value; ///< The value found; null when the field is missing.
    std::string allowed; ///< What the field may hold.

    bool operator==(const invalid_field &) const = default;
};

/** {"path", "value", "allowed"}, as operators get it. */
inline json toJson(const invalid_field &field)
{
    return {{"path", field.path}, {"value", field.value}, {"allowed", field.allowed}};
}

} // namespace snipefall
