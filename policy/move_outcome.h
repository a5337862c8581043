#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "policy/move_record.h"

namespace snipefall {

/** The outcome of a move, as far as a node can know it. */
enum class move_outcome
{
    running, ///< Not recorded as ended, and the deadline has not passed.
    done,
    rolled_back,
    not_yet_known, ///< The deadline has passed and the record can't be read; the old version serves.
};

std::string_view toString(move_outcome outcome);

/**
 * Derives the outcome of a move from its record.
 *
 * @p record is the last record that this node has read, if any. @p recordIsCurrent tells whether it is up to date, that is, whether the platform answered the
 * last read. A move that isn't recorded as done by its deadline counts as rolled back, even while no node has written the rollback yet.
 */
move_outcome moveOutcome(const std::optional<move_record> &record, bool recordIsCurrent, std::uint64_t nowMs);

} // namespace snipefall
