#pragma once

#include <optional>

#include "core/failure.h"
#include "store/claim_entry.h"

namespace snipefall {

/** The result of a claim. */
struct claim_result
{
    enum class kind
    {
        claimed, ///< The caller of claim() may run the request, once.
        already_claimed, ///< Another claim holds the id; see the entry for its state.
        refused, ///< This node has not run the request and never will, so "not run" is a correct answer to this submission.
    };

    kind status = kind::refused;
    object_version fencingToken; ///< claimed: the token to send to the backend server.
    std::optional<claim_entry> entry; ///< already_claimed: the stored claim with its owner, state and result, if any.
    /** refused: invalid_argument (not a UUIDv7, too old, too far in the future), unavailable, conflict, overloaded (bucket full), internal. */
    failure reason;
};

} // namespace snipefall
