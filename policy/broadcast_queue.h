#pragma once

#include <cmath>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace snipefall {

/** A datagram counts as full after this many keys whose updates don't fit. */
constexpr int MAX_BROADCAST_MISFITS = 3;

/** Keys of updates that are still to be broadcast: fewest sends first, and newest first among those with equally many sends. */
class broadcast_queue
{
public:
    /**
     * Returns how often each node that learns an update sends it, for a cluster of @p members other nodes.
     *
     * All senders miss a given node with a probability of about e^-sends. Four plus three times log10(n) sends keep this near 1e-4 at 10% packet loss, and
     * anti-entropy delivers the rest.
     */
    static int sendLimit(std::size_t members) { return 4 + static_cast<int>(std::ceil(3.0 * std::log10(static_cast<double>(members) + 1.0))); }

    bool empty() const { return m_order.empty(); }
    std::size_t size() const { return m_order.size(); }

    /** Queues a key with no sends; replaces an earlier entry of the same key. */
    void add(const std::string &key)
    {
        remove(key);
        const std::uint64_t age = ~(++m_additions);
        m_entries[key] = {0, age};
        m_order.insert({0, age, key});
    }

    void remove(const std::string &key)
    {
        const auto found = m_entries.find(key);
        if (found == m_entries.end()) {
            return;
        }
        m_order.erase({found->second.first, found->second.second, key});
        m_entries.erase(found);
    }

    /** Offers keys to @p take, which returns whether it added the update to a datagram. Keys that reach @p limit sends are removed. */
    template <typename Take>
    void collect(int limit, Take take)
    {
        std::vector<std::tuple<int, std::uint64_t, std::string>> taken;
        int misfits = 0;
        for (const auto &entry : m_order) {
            if (take(std::get<2>(entry))) {
                taken.push_back(entry);
            } else if (++misfits == MAX_BROADCAST_MISFITS) {
                break;
            }
        }
        for (const auto &[sends, age, key] : taken) {
            m_order.erase({sends, age, key});
            if (sends + 1 >= limit) {
                m_entries.erase(key);
                continue;
            }
            m_entries[key] = {sends + 1, age};
            m_order.insert({sends + 1, age, key});
        }
    }

private:
    std::map<std::string, std::pair<int, std::uint64_t>> m_entries;
    std::set<std::tuple<int, std::uint64_t, std::string>> m_order;
    std::uint64_t m_additions = 0;
};

} // namespace snipefall
