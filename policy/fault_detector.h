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
#include "policy/sub_answer_sample.h"

namespace snipefall {

/**
 * Counts this node's own sub-answers during one move and finds a bad new version within about a second of traffic.
 *
 * It needs no platform and no peers. Its threshold is far stricter than the one of move_controller, because every node tests on its own several times
 * a second; small faults are left to the controller, which sees the answers of all nodes. Not thread-safe.
 */
class fault_detector
{
public:
    explicit fault_detector(const move_record &record);

    /** Starts a new step when the share differs from the current one. */
    void setShare(std::uint32_t sharePercent);
    void record(const sub_answer_sample &sample);
    /** The finding, once there is one; it stays for the life of the detector. Meant to be called about every 100 ms. */
    const std::optional<bad_version_fact> &check(time_point now);
    /** This node's counts for move_controller, alone or merged with those of peers. */
    move_observations observations(time_point now) const;

private:
    static constexpr std::size_t SLICES = 10; ///< Slices of one second.
    struct slice
    {
        std::int64_t second = -1;
        route_counts counts;
    };
    /** Sums over the seconds that have left the slices, for the dispersion of the old version's errors. */
    struct dispersion_sums
    {
        double seconds = 0;
        double answers = 0;
        double errors = 0;
        double squaredErrorsPerAnswer = 0;

        void add(const slice &past);
        double excess() const;
    };
    /** A random one of the latencies in a LATENCY_BLOCK. */
    struct latency_choice
    {
        std::int64_t block = -1;
        unsigned seen = 0;
        duration latency{};
    };
    struct route_state
    {
        std::array<slice, SLICES> slices;
        version_counts oldEarlier; ///< The old version at earlier shares of this move.
        route_counts step;
        dispersion_sums dispersion;
        latency_choice newLatency;
    };

    void add(route_state &state, const sub_answer_sample &sample);
    /** Counts one latency of the new version in each LATENCY_BLOCK, once the block is over. */
    void chooseLatency(route_state &state, const sub_answer_sample &sample);
    static void countChosen(route_state &state);
    static route_counts window(const route_state &state, time_point now, std::int64_t seconds);
    /** The counts with the old version's whole move as baseline when they hold too few of its answers. */
    route_counts comparable(route_counts counts, const route_state &state) const;

    service_id m_service;
    version_id m_to;
    std::string m_moveId;
    std::uint32_t m_sharePercent;
    std::minstd_rand m_random; ///< Chooses among latencies; needs no seed, since it decides nothing else.
    std::map<std::string, route_state> m_routes;
    std::optional<time_point> m_firstNew; ///< First answer of the new version.
    time_point m_lastCold; ///< Last answer of a cold backend server of the new version.
    std::optional<bad_version_fact> m_found;
};

} // namespace snipefall
