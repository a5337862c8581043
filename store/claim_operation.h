#pragma once

#include "store/claim_result.h"

namespace snipefall {

/** A claim or the record of a result, on its way through a group commit. */
struct claim_operation
{
    enum class kind
    {
        claim,
        record,
    };

    kind type = kind::claim;
    request_id id;
    std::string nonce; ///< claim: its own. record: the nonce of the claim, or empty to compare the token instead.
    object_version token; ///< record: the fencing token of the claim.
    claim_state state = claim_state::running; ///< record: the new state.
    std::string resultHash;
    std::optional<std::string> resultBody;

    bool settled = false; ///< Belongs to the thread that commits the batch.
    bool done = false; ///< Guarded by the bucket's mutex: the batch is over and the result may be taken.
    claim_result result; ///< For a record: claimed when it is saved, refused otherwise.
};

} // namespace snipefall
