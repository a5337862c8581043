#pragma once

#include "store/claim_result.h"

namespace snipefall {

/** A claim, or a result to record, that is queued for a group commit. */
struct claim_operation
{
    enum class kind
    {
        claim,
        record,
    };

    kind type = kind::claim;
    request_id id;
    std::string nonce; ///< claim: the nonce of this claim. record: the nonce of the claim it belongs to; if empty, the token identifies the claim.
    object_version token; ///< record: the fencing token of the claim.
    claim_state state = claim_state::running; ///< record: the new state.
    std::string resultHash;
    std::optional<std::string> resultBody;

    bool settled = false; ///< Whether @ref result is final. Accessed only by the thread that commits the batch.
    bool batchFinished = false; ///< Set when the batch is finished and the waiting thread may read @ref result. Guarded by the bucket's mutex.
    claim_result result; ///< record: claimed if it was saved, refused otherwise.
};

} // namespace snipefall
