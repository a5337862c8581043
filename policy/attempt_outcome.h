#pragma once

namespace snipefall {

/** How one attempt, a sub-request sent to one backend server, ended. */
enum class attempt_outcome
{
    answered, ///< The server answered, without a server error.
    server_error, ///< The server ran the request and answered with a server error.
    not_run, ///< The server refused the request without running it, for example because it is overloaded.
    wrong_server, ///< A different server now has the address, and it did not run the request.
    unreachable, ///< The connection could not be opened; nothing was sent.
    lost, ///< The connection closed after the send without a complete answer; the server may have run the request.
    malformed, ///< The bytes received are not a valid answer to this request; the server may have run it.
    timed_out, ///< No answer arrived in time; the server may still be running the request.
};

/** Returns true unless it is certain that the server did not run the request. */
constexpr bool mayHaveRun(attempt_outcome outcome)
{
    return outcome != attempt_outcome::not_run && outcome != attempt_outcome::wrong_server && outcome != attempt_outcome::unreachable;
}

constexpr const char *toString(attempt_outcome outcome)
{
    constexpr const char *NAMES[] = {"answered", "server_error", "not_run", "wrong_server", "unreachable", "lost", "malformed", "timed_out"};
    return NAMES[static_cast<int>(outcome)];
}

} // namespace snipefall
