#pragma once

#include <optional>
#include <string_view>

namespace snipefall {

/** The recorded state of a claimed request. */
enum class claim_state
{
    running, ///< Claimed; the claimant has not recorded a result and may have died.
    unknown, ///< A byte may have reached a backend server and the response was lost; may still become ran or not_run.
    ran, ///< Final: the request ran.
    not_run, ///< Final: the claimant did not run it and never will.
};

std::string_view toString(claim_state state);
std::optional<claim_state> parseClaimState(std::string_view text);
/** Whether the recorded state @p from may be replaced by @p to: only from running or unknown, and only to a more certain state. */
bool canTransition(claim_state from, claim_state to);

} // namespace snipefall
