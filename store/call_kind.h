#pragma once

namespace snipefall {

/** What a call to the platform costs: a write, or a read, list or watch. */
enum class call_kind
{
    read,
    write,
};

} // namespace snipefall
