#pragma once

namespace snipefall {

/** The exit codes of the command line, as its reference page lists them. */
enum class exit_code
{
    success = 0,
    failed = 1, ///< The system answered, but not with what was asked for.
    usage = 2, ///< Unknown command or invalid argument; nothing was sent.
    unreachable = 3, ///< No node answered.
    refused = 4, ///< A patch or move was refused; nothing changed.
    unknown = 5, ///< The answer was lost; repeat the same command to settle it.
    not_verified = 6, ///< A report's signature or hash chain does not hold.
};

} // namespace snipefall
