#pragma once

namespace snipefall {

/** What a node that is behind a peer's read of the store has to do about one kind of objects. */
enum class catch_up
{
    none,
    watch_newest, ///< Watch again, without allowing an old copy to answer.
    list,
};

} // namespace snipefall
