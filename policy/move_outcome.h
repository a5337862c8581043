#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "policy/move_record.h"

namespace snipefall {

/** What a node may truthfully say about a move. */
enum class move_outcome
{
    running,
    done,
    rolled_back,
    not_yet_known, ///< The deadline has passed and the record can't be read; the old version serves.
};

std::string_view toString(move_outcome outcome);

/**
 * The outcome of a move.
 *
 * @p record is the last one that this node has read, if any; @p readable tells whether that read is current (the platform answers).
 * A record that isn't done at its deadline means rolled back, whether or not somebody has written so yet.
 */
move_outcome moveOutcome(const std::optional<move_record> &record, bool readable, std::uint64_t nowMs);

} // namespace snipefall
