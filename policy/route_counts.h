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
    /**
     * How much more the old version's errors vary between seconds than independent ones would (variance over mean, minus 1).
     * Set only when the old version's counts are from another time than the new one's; periods of errors then fall into one of them by chance.
     */
    double excessDispersion = 0;

    void merge(const route_counts &other)
    {
        oldVersion.merge(other.oldVersion);
        newVersion.merge(other.newVersion);
        // Periods of errors that all nodes see at the same time vary in proportion to the number of answers.
        excessDispersion += other.excessDispersion;
    }

    bool operator==(const route_counts &) const = default;
};

/** The entry of all routes together; it shows a general fault sooner than each route. Routes have the same mix in both versions. */
inline constexpr const char *ALL_ROUTES = "*";

/** Counts of each route, and of ALL_ROUTES. */
using counts_by_route = std::map<std::string, route_counts>;

} // namespace snipefall
