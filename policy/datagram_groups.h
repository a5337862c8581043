#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "policy/bucket_digest.h"

namespace snipefall {

/**
 * Packs items into at most @p groups groups of at most @p budget bytes each, one group per datagram. Items that don't fit are dropped.
 *
 * Each item is paired with its bucket. Items are taken in bucket order, starting at @p firstBucket and wrapping around, so that repeated requests with
 * different first buckets return different items.
 */
template <typename Item>
std::vector<std::vector<Item>> packIntoGroups(std::vector<std::pair<std::size_t, Item>> items, std::size_t budget, std::size_t groups, std::size_t firstBucket)
{
    const auto rotatedBucket = [&](const auto &entry) { return (entry.first + bucket_digest::BUCKETS - firstBucket) % bucket_digest::BUCKETS; };
    std::stable_sort(items.begin(), items.end(), [&](const auto &a, const auto &b) { return rotatedBucket(a) < rotatedBucket(b); });
    std::vector<std::vector<Item>> result;
    std::size_t used = budget;
    for (auto &[bucket, item] : items) {
        const std::size_t size = encodedSizeBound(item);
        if (used + size > budget) {
            if (result.size() == groups) {
                break;
            }
            result.emplace_back();
            used = 0;
        }
        used += size;
        result.back().push_back(std::move(item));
    }
    return result;
}

} // namespace snipefall
