#pragma once

#include <cstdint>

namespace snipefall {

/** Counts, by reason, of answers to sub-requests that were not merged into the result of a query. */
struct dropped_answers
{
    std::uint32_t unknownSubRequest = 0; ///< The query never sent a sub-request with this id.
    std::uint32_t cancelled = 0; ///< The sub-request was cancelled, because another one of its shard answered first or the query had ended.
    std::uint32_t duplicate = 0; ///< The sub-request had already ended with an answer or failure.
    std::uint32_t wrongShard = 0;
    std::uint32_t wrongSnapshot = 0;
    std::uint32_t tooManyItems = 0; ///< The answer reports more items than the shard map has for the shard.

    std::uint32_t total() const { return unknownSubRequest + cancelled + duplicate + wrongShard + wrongSnapshot + tooManyItems; }
};

} // namespace snipefall
