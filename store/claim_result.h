#pragma once

#include <optional>

#include "core/failure.h"
#include "store/claim_entry.h"

namespace snipefall {

/** The answer to a claim. */
struct claim_result
{
    enum class kind
    {
        claimed, ///< The caller of claim() may run the request, once.
        already_claimed, ///< Another claim holds the id; see the entry for its state.
        refused, ///< This node has not run the request and won't: "not run" is true of this submission.
    };

    kind status = kind::refused;
    object_version fencingToken; ///< claimed: to be sent to the backend server.
    std::optional<claim_entry> entry; ///< already_claimed: who holds the claim, its state and its result if any.
    /** refused: invalid_argument (not a UUIDv7, too old, too far ahead), unavailable, conflict, overloaded (bucket full), internal. */
    failure reason;
};

} // namespace snipefall
