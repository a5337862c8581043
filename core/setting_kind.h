#pragma once

namespace snipefall {

/** The value type of a setting, which determines how its text is validated. */
enum class setting_kind
{
    text,
    address, ///< "ip:port"
    address_list, ///< Comma-separated "ip:port" values; may be empty.
    integer,
    flag, ///< Takes no value on the command line; "1" or "true" in the environment.
    file, ///< Path of a readable file; may be empty.
};

} // namespace snipefall
