#pragma once

namespace snipefall {

/** Marks a request that another node passed on, and names that node. */
constexpr const char *HOP_HEADER = "Snipefall-Hop";

} // namespace snipefall
