#pragma once

#include <array>
#include <cstddef>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace snipefall {

/** A map whose entries are spread over shards, each under its own lock. */
template <typename Key, typename Value, std::size_t ShardCount = 16>
class sharded_table
{
public:
    /** Calls @p change with the value of @p key, which is created when missing, under the lock of its shard. Returns what @p change returns. */
    template <typename Change>
    auto update(const Key &key, Change &&change)
    {
        shard &owner = shardOf(key);
        const std::lock_guard lock(owner.mutex);
        return std::forward<Change>(change)(owner.values[key]);
    }

    /** Calls @p change with the value of @p key if there is one. Returns whether there was. */
    template <typename Change>
    bool updateExisting(const Key &key, Change &&change)
    {
        shard &owner = shardOf(key);
        const std::lock_guard lock(owner.mutex);
        const auto found = owner.values.find(key);
        if (found == owner.values.end()) {
            return false;
        }
        std::forward<Change>(change)(found->second);
        return true;
    }

    /** A copy of the value of @p key. */
    std::optional<Value> find(const Key &key) const
    {
        const shard &owner = shardOf(key);
        const std::lock_guard lock(owner.mutex);
        const auto found = owner.values.find(key);
        return found == owner.values.end() ? std::nullopt : std::optional<Value>(found->second);
    }

    void set(const Key &key, Value value)
    {
        update(key, [&value](Value &stored) { stored = std::move(value); });
    }

    void erase(const Key &key)
    {
        shard &owner = shardOf(key);
        const std::lock_guard lock(owner.mutex);
        owner.values.erase(key);
    }

    /** Calls @p visit with each key and value; one shard is locked at a time. */
    template <typename Visit>
    void forEach(Visit &&visit)
    {
        for (shard &owner : m_shards) {
            const std::lock_guard lock(owner.mutex);
            for (auto &[key, value] : owner.values) {
                visit(key, value);
            }
        }
    }

    std::vector<Key> keys() const
    {
        std::vector<Key> result;
        for (const shard &owner : m_shards) {
            const std::lock_guard lock(owner.mutex);
            for (const auto &[key, value] : owner.values) {
                result.push_back(key);
            }
        }
        return result;
    }

private:
    struct shard
    {
        mutable std::mutex mutex;
        std::unordered_map<Key, Value> values;
    };

    shard &shardOf(const Key &key) { return m_shards[std::hash<Key>{}(key) % ShardCount]; }
    const shard &shardOf(const Key &key) const { return m_shards[std::hash<Key>{}(key) % ShardCount]; }

    std::array<shard, ShardCount> m_shards;
};

} // namespace snipefall
