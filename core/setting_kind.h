#pragma once

namespace snipefall {

/** What the text of a setting must look like. */
enum class setting_kind
{
    text,
    address, ///< "ip:port"
    address_list, ///< Comma-separated "ip:port", may be empty.
    integer,
    flag, ///< Takes no value on the command line; "1" or "true" in the environment.
    file, ///< Path of a file that must be readable, may be empty.
};

} // namespace snipefall
