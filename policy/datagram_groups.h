#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "policy/bucket_digest.h"

namespace snipefall {

/**
 * Distributes items over datagrams of at most @p budget bytes each, at most @p groups of them.
 *
 * Items come with their bucket and are taken from @p firstBucket on, so that a repeated request with another first bucket gets other items.
 */
template <typename Item>
std::vector<std::vector<Item>>
groupForDatagrams(std::vector<std::pair<std::size_t, Item>> items, std::size_t budget, std::size_t groups, std::size_t firstBucket)
{
    const auto order = [&](const auto &entry) { return (entry.first + bucket_digest::BUCKETS - firstBucket) % bucket_digest::BUCKETS; };
    std::stable_sort(items.begin(), items.end(), [&](const auto &a, const auto &b) { return order(a) < order(b); });
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
