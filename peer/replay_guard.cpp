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
    window &senderWindow = m_windows[sender];
    if (started < senderWindow.started) {
        return refusal_reason::stale_incarnation;
    }
    if (started > senderWindow.started || senderWindow.accepted.empty()) {
        senderWindow = window{started, 0, nowMs, std::vector<bool>(SEQUENCE_WINDOW)};
    }
    if (sequence == 0 || sequence + SEQUENCE_WINDOW <= senderWindow.highestSequence) {
        return refusal_reason::replayed;
    }
    if (sequence > senderWindow.highestSequence) {
        const std::uint64_t first = std::max(senderWindow.highestSequence + 1, sequence >= SEQUENCE_WINDOW ? sequence - SEQUENCE_WINDOW + 1 : 0);
        for (std::uint64_t i = first; i < sequence; ++i) {
            senderWindow.accepted[i % SEQUENCE_WINDOW] = false;
        }
        senderWindow.highestSequence = sequence;
    } else if (senderWindow.accepted[sequence % SEQUENCE_WINDOW]) {
        return refusal_reason::replayed;
    }
    senderWindow.accepted[sequence % SEQUENCE_WINDOW] = true;
    senderWindow.lastAcceptedMs = nowMs;
    return std::nullopt;
}

void replay_guard::evictSilentSenders(std::uint64_t nowMs)
{
    const bool atCapacity = m_windows.size() >= MAX_SENDERS;
    if (!atCapacity && nowMs < m_lastEvictionMs + m_retentionMs / 2) {
        return;
    }
    m_lastEvictionMs = nowMs;
    std::erase_if(m_windows, [&](const auto &entry) { return entry.second.lastAcceptedMs + m_retentionMs < nowMs; });
    if (m_windows.size() >= MAX_SENDERS) {
        const auto oldest = std::min_element(
            m_windows.begin(), m_windows.end(), [](const auto &a, const auto &b) { return a.second.lastAcceptedMs < b.second.lastAcceptedMs; });
        m_windows.erase(oldest);
    }
}

} // namespace snipefall
