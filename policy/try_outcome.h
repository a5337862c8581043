#pragma once

namespace snipefall {

/** How one sub-request to a backend server ended. */
enum class try_outcome
{
    answered, ///< The server's own answer, and no server error.
    server_error, ///< The server's own answer says that it failed; it ran the request.
    not_run, ///< The server says that it did not run the request, for example because it is full.
    wrong_server, ///< Another server has the address; it did not run the request.
    unreachable, ///< No connection; nothing was sent.
    lost, ///< Sent, and the connection ended without a whole answer: the server may have run the request.
    malformed, ///< The bytes that came are no answer to this request: the server may have run it.
    timed_out, ///< No answer in time: the server may still be running it.
};

/** True unless the server certainly did not run the request. */
constexpr bool mayHaveRun(try_outcome outcome)
{
    return outcome != try_outcome::not_run && outcome != try_outcome::wrong_server && outcome != try_outcome::unreachable;
}

constexpr const char *toString(try_outcome outcome)
{
    constexpr const char *NAMES[] = {"answered", "server_error", "not_run", "wrong_server", "unreachable", "lost", "malformed", "timed_out"};
    return NAMES[static_cast<int>(outcome)];
}

} // namespace snipefall
