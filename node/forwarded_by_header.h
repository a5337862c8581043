#pragma once

namespace snipefall {

/** HTTP header of a forwarded request; its value is the id of the node that forwarded it. */
constexpr const char *FORWARDED_BY_HEADER = "Snipefall-Hop";

} // namespace snipefall
