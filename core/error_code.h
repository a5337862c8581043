#pragma once

#include <string_view>

namespace snipefall {

/** Kinds of failure that callers of a function tell apart. */
enum class error_code
{
    invalid_argument, ///< The input is malformed or out of range; nothing was done.
    not_found, ///< The named object or service does not exist.
    conflict, ///< A conditional update met another version; nothing was written.
    unavailable, ///< The other side can't be reached; nothing was sent.
    unknown_result, ///< The request may have taken effect; the answer was lost.
    deadline_exceeded, ///< The deadline passed before there was a result.
    overloaded, ///< Refused early because of load; nothing was done.
    quarantined, ///< The request is refused because it crashed backend servers.
    permission_denied, ///< The sender is not allowed to do this.
    history_gone, ///< The requested history is no longer kept.
    no_permits, ///< This node holds no permits of the service; nothing was done.
    internal, ///< A library or the system gave an unexpected error.
};

/** The stable name of a code, as used in JSON and logs. */
std::string_view toString(error_code code);

} // namespace snipefall
