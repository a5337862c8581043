#pragma once

#include <string>
#include <unordered_map>

#include "core/clock.h"
#include "policy/decaying_histogram.h"

namespace snipefall {

/** The latency of the sub-requests of each route, as this node measures it. */
class route_latency
{
public:
    /** Notes the latency of one sub-request, also of one whose answer came too late to be used. */
    void record(const std::string &route, duration latency, time_point now);

    /** The median, or @p fallback before there are enough samples. */
    duration usual(const std::string &route, duration fallback) const;
    /** The latency after which a second sub-request is worth its cost, or @p fallback before there are enough samples. */
    duration hedgeDelay(const std::string &route, duration fallback) const;

private:
    struct entry
    {
        decaying_histogram histogram;
        duration usual{};
        duration hedgeDelay{};
        std::uint32_t sinceUpdate = 0;
        bool known = false;
    };

    std::unordered_map<std::string, entry> m_routes;
};

} // namespace snipefall
