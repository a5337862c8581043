#pragma once

#include "policy/move_input.h"

namespace snipefall {

constexpr std::uint64_t SAMPLE_START_MS = 1'000'000;
constexpr std::uint64_t SAMPLE_DEADLINE_MS = SAMPLE_START_MS + 60'000;

/** A move in state canary at 5%, with its deadline after 60 s and an observation period of 20 s. */
inline move_record sampleMove()
{
    return startMove({"m1", service_id("s"), version_id("v1"), version_id("v2"), 5, SAMPLE_DEADLINE_MS, 20'000, "operator", "new ranking"}, SAMPLE_START_MS)
        .value();
}

/** The record of the sample move in another step, which started at @p stepStartedMs. */
inline move_record sampleMoveAt(move_state state, std::uint32_t sharePercent, std::uint64_t stepStartedMs)
{
    move_record record = sampleMove();
    record.state = state;
    record.sharePercent = sharePercent;
    record.stepStartedMs = stepStartedMs;
    if (state == move_state::canary) {
        record.steps.clear();
    }
    record.steps.push_back({state, sharePercent, stepStartedMs});
    return record;
}

/** Counts of @p answers answers, of which @p errors failed and the others had a latency of 10 ms. */
inline version_counts sampleCounts(std::uint64_t answers, std::uint64_t errors)
{
    version_counts counts;
    counts.answers = answers;
    counts.errors = errors;
    for (std::uint64_t i = errors; i < answers; ++i) {
        counts.latency.add(std::chrono::milliseconds(10));
    }
    return counts;
}

inline move_observations sampleObservations(const move_record &record, std::uint64_t answers, std::uint64_t errors)
{
    return {record.moveId, record.sharePercent, {{ALL_ROUTES, {sampleCounts(2000, 10), sampleCounts(answers, errors), 0}}}, {}};
}

} // namespace snipefall
