#include "store/claim_state.h"

namespace snipefall {

std::string_view toString(claim_state state)
{
    switch (state) {
    case claim_state::running:
        return "running";
    case claim_state::unknown:
        return "unknown";
    case claim_state::ran:
        return "ran";
    case claim_state::not_run:
        return "not_run";
    }
    return "unknown";
}

std::optional<claim_state> parseClaimState(std::string_view text)
{
    for (const claim_state state : {claim_state::running, claim_state::unknown, claim_state::ran, claim_state::not_run}) {
        if (toString(state) == text) {
            return state;
        }
    }
    return std::nullopt;
}

bool canTransition(claim_state from, claim_state to)
{
    return from < to && (from == claim_state::running || from == claim_state::unknown);
}

} // namespace snipefall
