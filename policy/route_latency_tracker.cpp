#include "policy/route_latency_tracker.h"

namespace snipefall {

namespace {

/** Number of samples required before an estimate is used. */
constexpr std::uint64_t MIN_SAMPLES = 20;
/** Estimates are recomputed after this many samples. */
constexpr std::uint32_t UPDATE_INTERVAL = 16;
/** Hedging at this quantile adds one tenth to the load, which is half of the usual bound on extra sub-requests. */
constexpr double HEDGE_QUANTILE = 0.9;
/** Bounds the memory of the table when the configured routes change over time. */
constexpr std::size_t MAX_ROUTES = 1024;

} // namespace

void route_latency_tracker::record(const std::string &route, duration latency, time_point now)
{
    if (m_routes.size() >= MAX_ROUTES && !m_routes.contains(route)) {
        m_routes.clear();
    }
    entry &state = m_routes[route];
    state.histogram.record(latency, now);
    if (++state.samplesSinceUpdate < UPDATE_INTERVAL || state.histogram.samples() < MIN_SAMPLES) {
        return;
    }
    state.samplesSinceUpdate = 0;
    state.medianLatency = state.histogram.quantile(0.5).value_or(duration{});
    state.hedgeDelay = state.histogram.quantile(HEDGE_QUANTILE).value_or(duration{});
    state.hasEstimate = true;
}

duration route_latency_tracker::medianLatency(const std::string &route, duration fallback) const
{
    const auto found = m_routes.find(route);
    return found != m_routes.end() && found->second.hasEstimate ? found->second.medianLatency : fallback;
}

duration route_latency_tracker::hedgeDelay(const std::string &route, duration fallback) const
{
    const auto found = m_routes.find(route);
    return found != m_routes.end() && found->second.hasEstimate ? found->second.hedgeDelay : fallback;
}

} // namespace snipefall
