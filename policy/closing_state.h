#pragma once

#include <optional>
#include <string_view>

namespace snipefall {

/** How far the closing of a service is. A service without a closing record is open. */
enum class closing_state
{
    open,
    refusing, ///< The configuration that refuses new work is being committed.
    draining, ///< Nodes finish running requests and save their accounts.
    collecting, ///< All live nodes saved; the report is collected and waits for a signature.
    signed_off, ///< The signed report is published. Final.
};

std::string_view toString(closing_state state);
std::optional<closing_state> parseClosingState(std::string_view text);

} // namespace snipefall
