#include "peer/refusal_counters.h"

#include "core/logger.h"

namespace snipefall {

void refusal_counters::add(refusal_reason reason, const std::string &address)
{
    m_counts[static_cast<std::size_t>(reason)].fetch_add(1, std::memory_order_relaxed);
    logWarning("peer_message_refused", {{"reason", toString(reason)}, {"address", address}});
}

std::uint64_t refusal_counters::total() const
{
    std::uint64_t sum = 0;
    for (const auto &count : m_counts) {
        sum += count.load(std::memory_order_relaxed);
    }
    return sum;
}

} // namespace snipefall
