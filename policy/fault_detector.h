#pragma once

#include <array>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "core/clock.h"
#include "policy/bad_version_fact.h"
#include "policy/move_observations.h"
#include "policy/move_record.h"
#include "policy/sub_request_sample.h"

namespace snipefall {

/**
 * Detects a faulty new version during one move from the sub-answers that this node receives; a gross fault within about a second of traffic.
 *
 * The detector depends on neither the platform nor peers. Its threshold is far stricter than that of move_controller, because every node tests on its own,
 * several times a second. Small faults are left to move_controller, which evaluates the answers of all nodes. Not thread-safe.
 */
class fault_detector
{
public:
    explicit fault_detector(const move_record &record);

    /** Starts a new step when the share differs from the current one. */
    void setShare(std::uint32_t sharePercent);
    /** Counts one sub-answer for its route, for ALL_ROUTES, and under newConnectionsKey() if it is the first one on a connection. */
    void record(const sub_request_sample &sample);
    /** The fault that was found, if any; once set, it never changes. Call this about every 100 ms. */
    const std::optional<bad_version_fact> &check(time_point now);
    /** This node's counts, as input for move_controller; they can be merged with those of peers. */
    move_observations observations(time_point now) const;

private:
    static constexpr std::size_t SLICES = 10; ///< Length of the sliding window, in slices of one second.
    /** The counts of one second. */
    struct slice
    {
        std::int64_t second = -1; ///< Seconds since the clock's epoch; -1 while unused.
        route_counts counts;
    };
    /** Sums over the seconds that have left the sliding window, to estimate the dispersion of the old version's errors between seconds. */
    struct dispersion_sums
    {
        double seconds = 0;
        double answers = 0;
        double errors = 0;
        double squaredErrorsPerAnswer = 0;

        void add(const slice &past);
        /** Variance over mean, minus 1; 0 when there are too few samples. */
        double excess() const;
    };
    /** One latency, chosen at random with equal probability among those in a LATENCY_SAMPLING_PERIOD (reservoir sampling). */
    struct latency_sample
    {
        std::int64_t period = -1;
        unsigned seen = 0;
        duration latency{};
    };
    struct route_state
    {
        std::array<slice, SLICES> slices;
        version_counts oldVersionBefore; ///< Counts of the old version in the earlier steps of this move.
        route_counts step;
        dispersion_sums dispersion;
        latency_sample newVersionLatency;
    };

    void add(route_state &state, const sub_request_sample &sample);
    /** Samples one latency of the new version in each LATENCY_SAMPLING_PERIOD; the sample of a period is counted when the period has ended. */
    void sampleLatency(route_state &state, const sub_request_sample &sample);
    /** Adds the sampled latency to the counts and clears the sample. */
    static void countSampledLatency(route_state &state);
    /** The counts of the last @p seconds. */
    static route_counts recentCounts(const route_state &state, time_point now, std::int64_t seconds);
    /** The counts; if they hold too few answers of the old version, its answers during the whole move replace them as the baseline. */
    route_counts withBaseline(route_counts counts, const route_state &state) const;

    service_id m_service;
    version_id m_newVersion;
    std::string m_moveId;
    std::uint32_t m_sharePercent;
    std::minstd_rand m_random; ///< Samples latencies. A fixed seed is sufficient, as nothing else depends on it.
    std::map<std::string, route_state> m_routes;
    std::optional<time_point> m_firstNewAt; ///< Time of the first answer of the new version.
    time_point m_lastColdAt; ///< Time of the last answer of a cold backend server of the new version.
    std::optional<bad_version_fact> m_found;
};

} // namespace snipefall
