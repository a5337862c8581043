#pragma once

#include <algorithm>
#include <cstdint>

namespace snipefall {

/** An amount of permits for each backend server of a service. */
struct permit_share
{
    std::uint32_t slots = 0; ///< Requests running at the same time on one backend server.
    std::uint32_t connections = 0; ///< Open connections to one backend server.

    bool operator==(const permit_share &) const = default;
    bool empty() const { return slots == 0 && connections == 0; }
    bool covers(const permit_share &other) const { return slots >= other.slots && connections >= other.connections; }
};

inline permit_share operator+(const permit_share &a, const permit_share &b)
{
    return {a.slots + b.slots, a.connections + b.connections};
}

/** The part of @p a beyond @p b, never below 0. */
inline permit_share operator-(const permit_share &a, const permit_share &b)
{
    return {a.slots > b.slots ? a.slots - b.slots : 0, a.connections > b.connections ? a.connections - b.connections : 0};
}

inline permit_share smaller(const permit_share &a, const permit_share &b)
{
    return {std::min(a.slots, b.slots), std::min(a.connections, b.connections)};
}

} // namespace snipefall
