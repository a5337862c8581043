#pragma once

#include <optional>
#include <string>

#include "core/ids.h"
#include "store/claim_state.h"

namespace snipefall {

/** For results larger than this, only the hash is stored. */
constexpr std::size_t MAX_RESULT_BODY_BYTES = 4'096;

/** The stored claim of one request id. */
struct claim_entry
{
    node_id node;
    incarnation started; ///< The claimant's incarnation.
    std::string nonce; ///< Unique to each call of claim(), so that a claimant recognises its own write after a lost response.
    object_version token; ///< The fencing token: the version of the bucket object that first contained the claim.
    claim_state state = claim_state::running;
    std::string resultHash; ///< SHA-256 of the result, in hex; empty while no result is recorded.
    std::optional<std::string> resultBody; ///< Absent if the body is too large or not UTF-8, or was removed to make room in the bucket.
};

} // namespace snipefall
