#pragma once

#include <string_view>

namespace snipefall {

/** Kinds of failure that callers of a function handle differently. */
enum class error_code
{
    invalid_argument, ///< The input is malformed or out of range; nothing was done.
    not_found, ///< The named object or service does not exist.
    conflict, ///< The object had another version than a conditional update expected; nothing was written.
    unavailable, ///< The remote side can't be reached; nothing was sent.
    unknown_result, ///< The response was lost, so the request may or may not have taken effect.
    deadline_exceeded, ///< The deadline passed before a result was available.
    overloaded, ///< Rejected by load shedding before any work was done.
    quarantined, ///< Rejected because the request crashed backend servers.
    permission_denied, ///< The sender is not authorized for this operation.
    history_gone, ///< The requested history is no longer retained.
    no_permits, ///< This node holds no permits for the service; nothing was done.
    internal, ///< A library or the operating system returned an unexpected error.
};

/** The stable name of a code, as used in JSON and logs. */
std::string_view toString(error_code code);

} // namespace snipefall
