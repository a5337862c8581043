#pragma once

#include <map>
#include <string>

#include "policy/version_counts.h"

namespace snipefall {

/** What both versions of a move did on one route. */
struct route_counts
{
    version_counts oldVersion;
    version_counts newVersion;

    void merge(const route_counts &other)
    {
        oldVersion.merge(other.oldVersion);
        newVersion.merge(other.newVersion);
    }

    bool operator==(const route_counts &) const = default;
};

/** The entry of all routes together; it shows a general fault sooner than each route. Routes have the same mix in both versions. */
inline constexpr const char *ALL_ROUTES = "*";

/** Counts of each route, and of ALL_ROUTES. */
using counts_by_route = std::map<std::string, route_counts>;

} // namespace snipefall
