#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

#include "peer/refusal_reason.h"

namespace snipefall {

/** Counts refused peer messages by reason and logs each one. */
class refusal_counters
{
public:
    void add(refusal_reason reason, const std::string &address);
    std::uint64_t count(refusal_reason reason) const { return m_counts[static_cast<std::size_t>(reason)].load(std::memory_order_relaxed); }
    std::uint64_t total() const;

private:
    std::array<std::atomic<std::uint64_t>, REFUSAL_REASON_COUNT> m_counts{};
};

} // namespace snipefall
