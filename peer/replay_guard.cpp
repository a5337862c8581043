#include "peer/replay_guard.h"

#include <algorithm>

namespace snipefall {

replay_guard::replay_guard(std::uint64_t retentionMs)
    : m_retentionMs(retentionMs)
{
}

std::optional<refusal_reason> replay_guard::accept(const node_id &sender, incarnation started, std::uint64_t sequence, std::uint64_t nowMs)
{
    const std::lock_guard lock(m_mutex);
    evictSilentSenders(nowMs);
    window &known = m_windows[sender];
    if (started < known.started) {
        return refusal_reason::stale_incarnation;
    }
    if (started > known.started || known.seen.empty()) {
        known = window{started, 0, nowMs, std::vector<bool>(WINDOW)};
    }
    if (sequence == 0 || sequence + WINDOW <= known.highest) {
        return refusal_reason::replayed;
    }
    if (sequence > known.highest) {
        const std::uint64_t first = std::max(known.highest + 1, sequence >= WINDOW ? sequence - WINDOW + 1 : 0);
        for (std::uint64_t i = first; i < sequence; ++i) {
            known.seen[i % WINDOW] = false;
        }
        known.highest = sequence;
    } else if (known.seen[sequence % WINDOW]) {
        return refusal_reason::replayed;
    }
    known.seen[sequence % WINDOW] = true;
    known.lastMs = nowMs;
    return std::nullopt;
}

void replay_guard::evictSilentSenders(std::uint64_t nowMs)
{
    const bool full = m_windows.size() >= MAX_SENDERS;
    if (!full && nowMs < m_lastEvictionMs + m_retentionMs / 2) {
        return;
    }
    m_lastEvictionMs = nowMs;
    std::erase_if(m_windows, [&](const auto &entry) { return entry.second.lastMs + m_retentionMs < nowMs; });
    if (m_windows.size() >= MAX_SENDERS) {
        const auto oldest =
            std::min_element(m_windows.begin(), m_windows.end(), [](const auto &a, const auto &b) { return a.second.lastMs < b.second.lastMs; });
        m_windows.erase(oldest);
    }
}

} // namespace snipefall
