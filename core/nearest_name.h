#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipefall {

/** The candidate with the smallest edit distance to @p name, if the distance is at most a third of the name's length plus one. */
std::optional<std::string> nearestName(std::string_view name, const std::vector<std::string> &candidates);

} // namespace snipefall
