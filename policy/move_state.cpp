#include "policy/move_state.h"

#include <array>
#include <utility>

namespace snipefall {

namespace {

constexpr std::array<std::pair<move_state, std::string_view>, 4> NAMES{{
    {move_state::canary, "canary"},
    {move_state::growing, "growing"},
    {move_state::done, "done"},
    {move_state::rolled_back, "rolled_back"},
}};

} // namespace

std::string_view toString(move_state state)
{
    for (const auto &[value, name] : NAMES) {
        if (value == state) {
            return name;
        }
    }
    return "unknown";
}

std::optional<move_state> parseMoveState(std::string_view text)
{
    for (const auto &[value, name] : NAMES) {
        if (name == text) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace snipefall
