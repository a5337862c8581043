#pragma once

#include <optional>
#include <string>

#include "core/ids.h"
#include "store/claim_state.h"

namespace snipefall {

/** Larger results are kept as their hash only. */
constexpr std::size_t MAX_RESULT_BODY_BYTES = 4'096;

/** The claim of one request id. */
struct claim_entry
{
    node_id node;
    incarnation started; ///< The claimant's incarnation.
    std::string nonce; ///< Differs for each call of claim(), so that a claimant recognises its own write.
    object_version token; ///< The object version that the claim was written as; the fencing token.
    claim_state state = claim_state::running;
    std::string resultHash; ///< SHA-256 of the result; empty while there is none.
    std::optional<std::string> resultBody; ///< Absent when it is too large, not UTF-8, or was dropped to save space.
};

} // namespace snipefall
