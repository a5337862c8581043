#pragma once

#include <array>
#include <cstddef>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace snipefall {

/** A hash map that is split into lock-striped shards: each shard has its own mutex, so that accesses to different shards don't contend. */
template <typename Key, typename Value, std::size_t ShardCount = 16>
class sharded_table
{
public:
    /** Calls @p change with the value of @p key while the lock of its shard is held, and returns its result. A missing value is default-constructed first. */
    template <typename Change>
    auto update(const Key &key, Change &&change)
    {
        shard &target = shardOf(key);
        const std::lock_guard lock(target.mutex);
        return std::forward<Change>(change)(target.values[key]);
    }

    /** Calls @p change with the value of @p key while the lock of its shard is held, if the key exists. Returns whether the key exists. */
    template <typename Change>
    bool updateExisting(const Key &key, Change &&change)
    {
        shard &target = shardOf(key);
        const std::lock_guard lock(target.mutex);
        const auto found = target.values.find(key);
        if (found == target.values.end()) {
            return false;
        }
        std::forward<Change>(change)(found->second);
        return true;
    }

    /** A copy of the value of @p key, or nothing if the key does not exist. */
    std::optional<Value> find(const Key &key) const
    {
        const shard &target = shardOf(key);
        const std::lock_guard lock(target.mutex);
        const auto found = target.values.find(key);
        return found == target.values.end() ? std::nullopt : std::optional<Value>(found->second);
    }

    void set(const Key &key, Value value)
    {
        update(key, [&value](Value &stored) { stored = std::move(value); });
    }

    void erase(const Key &key)
    {
        shard &target = shardOf(key);
        const std::lock_guard lock(target.mutex);
        target.values.erase(key);
    }

    /** Calls @p visit with each key and value. Locks one shard at a time, so that the visit is no consistent snapshot of the table. */
    template <typename Visit>
    void forEach(Visit &&visit)
    {
        for (shard &target : m_shards) {
            const std::lock_guard lock(target.mutex);
            for (auto &[key, value] : target.values) {
                visit(key, value);
            }
        }
    }

    std::vector<Key> keys() const
    {
        std::vector<Key> result;
        for (const shard &target : m_shards) {
            const std::lock_guard lock(target.mutex);
            for (const auto &[key, value] : target.values) {
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
