#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipefall {

/** The candidate with the smallest edit distance to @p name, or nothing if that distance exceeds a third of the length of @p name plus one. */
std::optional<std::string> nearestName(std::string_view name, const std::vector<std::string> &candidates);

} // namespace snipefall
