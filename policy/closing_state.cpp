#include "policy/closing_state.h"

#include <array>
#include <utility>

namespace snipefall {

namespace {

constexpr std::array<std::pair<closing_state, std::string_view>, 5> NAMES{{{closing_state::open, "open"},
                                                                           {closing_state::refusing, "refusing"},
                                                                           {closing_state::draining, "draining"},
                                                                           {closing_state::collecting, "collecting"},
                                                                           {closing_state::signed_off, "signed"}}};

} // namespace

std::string_view toString(closing_state state)
{
    return NAMES[static_cast<std::size_t>(state)].second;
}

std::optional<closing_state> parseClosingState(std::string_view text)
{
    for (const auto &[state, name] : NAMES) {
        if (name == text) {
            return state;
        }
    }
    return std::nullopt;
}

} // namespace snipefall
