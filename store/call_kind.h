#pragma once

namespace snipefall {

/** Which rate limit of a call_budget a call counts against: reads (including lists and watches) or writes. */
enum class call_kind
{
    read,
    write,
};

} // namespace snipefall
