#pragma once

#include <algorithm>
#include <cstdint>

namespace snipefall {

/** A number of permits on each backend server of a service. */
struct permit_share
{
    std::uint32_t slots = 0; ///< Concurrent requests to one backend server.
    std::uint32_t connections = 0; ///< Open connections to one backend server.

    bool operator==(const permit_share &) const = default;
    bool empty() const { return slots == 0 && connections == 0; }
    /** True if @p other does not exceed this share in either number. */
    bool covers(const permit_share &other) const { return slots >= other.slots && connections >= other.connections; }
};

inline permit_share operator+(const permit_share &a, const permit_share &b)
{
    return {a.slots + b.slots, a.connections + b.connections};
}

/** Element-wise difference, at least 0. */
inline permit_share operator-(const permit_share &a, const permit_share &b)
{
    return {a.slots > b.slots ? a.slots - b.slots : 0, a.connections > b.connections ? a.connections - b.connections : 0};
}

/** Element-wise minimum. */
inline permit_share elementwiseMin(const permit_share &a, const permit_share &b)
{
    return {std::min(a.slots, b.slots), std::min(a.connections, b.connections)};
}

} // namespace snipefall
