#pragma once

#include <optional>
#include <string_view>

namespace snipefall {

/** What is known of a claimed request. */
enum class claim_state
{
    running, ///< Claimed; the claimant has not recorded a result, and may be dead.
    unknown, ///< A byte may have reached a backend server, and the answer was lost; may still become ran or not_run.
    ran, ///< Final.
    not_run, ///< Final: the claimant did not run it and never will.
};

std::string_view toString(claim_state state);
std::optional<claim_state> parseClaimState(std::string_view text);
/** Whether a recorded state may be replaced: results only ever become more certain. */
bool mayBecome(claim_state from, claim_state to);

} // namespace snipefall
