#pragma once

#include <string>
#include <unordered_map>

#include "core/clock.h"
#include "policy/decaying_histogram.h"

namespace snipefall {

/** Latency statistics of the sub-requests of each route, as measured by this node. */
class route_latency_tracker
{
public:
    /** Records the latency of one sub-request, even if its answer came too late to be used. */
    void record(const std::string &route, duration latency, time_point now);

    /** Median latency of the route, or @p fallback until there are enough samples. */
    duration medianLatency(const std::string &route, duration fallback) const;
    /** Latency after which a hedge is worth its cost, or @p fallback until there are enough samples. */
    duration hedgeDelay(const std::string &route, duration fallback) const;

private:
    struct entry
    {
        decaying_histogram histogram;
        duration medianLatency{};
        duration hedgeDelay{};
        std::uint32_t samplesSinceUpdate = 0;
        bool hasEstimate = false;
    };

    std::unordered_map<std::string, entry> m_routes;
};

} // namespace snipefall
