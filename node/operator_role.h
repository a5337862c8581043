#pragma once

namespace snipefall {

/** What an operator may do. */
enum class operator_role
{
    read,
    write, ///< Includes read.
};

} // namespace snipefall
