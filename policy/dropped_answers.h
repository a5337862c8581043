#pragma once

#include <cstdint>

namespace snipefall {

/** Counts of sub-answers that were not merged, by reason. */
struct dropped_answers
{
    std::uint32_t unknownSub = 0; ///< The id is not of this query.
    std::uint32_t cancelled = 0; ///< The loser of a hedge, or any sub-request of a finished query.
    std::uint32_t duplicate = 0; ///< The sub-request had already ended with an answer or failure.
    std::uint32_t wrongShard = 0;
    std::uint32_t wrongSnapshot = 0;
    std::uint32_t tooManyItems = 0; ///< More items than the shard map has.

    std::uint32_t total() const { return unknownSub + cancelled + duplicate + wrongShard + wrongSnapshot + tooManyItems; }
};

} // namespace snipefall
