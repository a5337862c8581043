#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "peer/refusal_reason.h"

namespace snipefall {

/** Refuses messages that were accepted before. Thread-safe. */
class replay_guard
{
public:
    /** Messages may overtake each other by this many sequences. */
    static constexpr std::uint64_t WINDOW = 4096;
    static constexpr std::size_t MAX_SENDERS = 4096;

    /** @param retentionMs Time for which a silent sender is remembered; must exceed the time for which messages are accepted as fresh. */
    explicit replay_guard(std::uint64_t retentionMs);

    /** Remembers an authenticated message, or says why it is refused. */
    std::optional<refusal_reason> accept(const node_id &sender, incarnation started, std::uint64_t sequence, std::uint64_t nowMs);

private:
    struct window
    {
        incarnation started;
        std::uint64_t highest = 0;
        std::uint64_t lastMs = 0;
        std::vector<bool> seen; ///< Indexed by sequence modulo WINDOW.
    };

    void forget(std::uint64_t nowMs);

    std::uint64_t m_retentionMs;
    std::mutex m_mutex;
    std::map<node_id, window> m_windows;
    std::uint64_t m_forgottenMs = 0;
};

} // namespace snipefall
