#pragma once

namespace snipefall {

/** Which call a response belongs to, by what the response says. */
enum class response_match
{
    this_call,
    other_call,
    unidentified, ///< It names no call. It is not taken for a success on a connection whose server has identified a response before.
};

} // namespace snipefall
