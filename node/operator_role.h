#pragma once

namespace snipefall {

/** The permissions of an operator. */
enum class operator_role
{
    read,
    write, ///< Includes read.
};

} // namespace snipefall
