#pragma once

namespace snipefall {

/** Exit codes of the snipefall program, as listed in its reference page. */
enum class exit_code
{
    success = 0,
    failed = 1, ///< The node answered, but the request or the move did not succeed.
    usage = 2, ///< Unknown command or invalid argument; nothing was sent.
    unreachable = 3, ///< No node answered.
    refused = 4, ///< A patch or move was refused; nothing changed.
    unknown = 5, ///< The response was lost, or the result is not known yet; repeat the same command, with the same id if one was printed.
    not_verified = 6, ///< The signature of a report or the hash chain of the audit trail is invalid.
};

} // namespace snipefall
