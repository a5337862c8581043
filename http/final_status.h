#pragma once

namespace snipefall {

/** Whether a response with this status code ends a request. Interim responses (1xx) precede the final one; other codes are not HTTP. */
constexpr bool isFinalStatus(unsigned status)
{
    return status >= 200 && status <= 599;
}

/** Whether a final response with this status code reports a failure of the client or the server. */
constexpr bool isErrorStatus(unsigned status)
{
    return status >= 400;
}

/** Whether a final response follows after one with this status code. 101 is none of these: no request asks to switch the protocol. */
constexpr bool isInterimStatus(unsigned status)
{
    return status >= 100 && status <= 199 && status != 101;
}

} // namespace snipefall
