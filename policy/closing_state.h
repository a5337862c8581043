#pragma once

#include <optional>
#include <string_view>

namespace snipefall {

/** State of the closing of a service. A service without a closing record is open. */
enum class closing_state
{
    open,
    refusing, ///< The configuration change that makes nodes refuse new requests is being committed.
    draining, ///< Nodes complete the running requests and save their accounts.
    collecting, ///< All live nodes have saved their accounts; the report is collected and waits for a signature.
    signed_off, ///< The signed report is published. Final state.
};

std::string_view toString(closing_state state);
std::optional<closing_state> parseClosingState(std::string_view text);

} // namespace snipefall
