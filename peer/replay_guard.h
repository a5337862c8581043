#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "peer/refusal_reason.h"

namespace snipefall {

/** Detects replayed messages with a sliding window of sequence numbers for each sender. Thread-safe. */
class replay_guard
{
public:
    /** Size of the sliding window: messages may be reordered by fewer than this many sequence numbers. */
    static constexpr std::uint64_t SEQUENCE_WINDOW = 4096;
    static constexpr std::size_t MAX_SENDERS = 4096;

    /** @param retentionMs Time in ms for which the window of a silent sender is kept; must exceed the time for which a message is accepted as fresh. */
    explicit replay_guard(std::uint64_t retentionMs);

    /** Records the sequence number of an authenticated message. Returns the reason when the message is refused, or nothing when it is accepted. */
    std::optional<refusal_reason> accept(const node_id &sender, incarnation started, std::uint64_t sequence, std::uint64_t nowMs);

private:
    struct window
    {
        incarnation started;
        std::uint64_t highestSequence = 0;
        std::uint64_t lastAcceptedMs = 0;
        std::vector<bool> accepted; ///< Indexed by sequence modulo SEQUENCE_WINDOW.
    };

    void evictSilentSenders(std::uint64_t nowMs);

    std::uint64_t m_retentionMs;
    std::mutex m_mutex;
    std::map<node_id, window> m_windows;
    std::uint64_t m_lastEvictionMs = 0;
};

} // namespace snipefall
