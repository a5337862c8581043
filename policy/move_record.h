#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/json.h"
#include "core/outcome.h"
#include "policy/move_request.h"
#include "policy/move_step.h"

namespace snipefall {

/** Largest share of traffic that a move starts with (guarantee G5). */
constexpr std::uint32_t MAX_FIRST_SHARE_PERCENT = 5;
/** A move needs time for at least one second a step. */
constexpr std::uint64_t MIN_MOVE_MS = 10'000;
/** 30 days; no other move of the service may start before the observation has ended. */
constexpr std::uint64_t MAX_OBSERVATION_MS = 30ULL * 24 * 3600 * 1000;

/** The value of the object moves/<service>. All times are wall clock milliseconds. */
struct move_record
{
    std::string moveId;
    service_id service;
    version_id from;
    version_id to;
    std::uint32_t sharePercent = 0; ///< Share of queries that the new version may serve.
    move_state state = move_state::canary;
    std::uint64_t startedMs = 0;
    std::uint64_t deadlineMs = 0;
    std::uint64_t stepStartedMs = 0; ///< When the current share or state was written.
    std::uint64_t observationMs = 0; ///< Length of the observation period, which starts at done.
    std::string reason; ///< Why the move was started or, when it is rolled back, why it was rolled back.
    std::string author;
    std::vector<move_step> steps; ///< Oldest first; the last one is the current step.

    /** True when no later write may change the record: rolled back, or done and past the observation period. */
    bool isFinal(std::uint64_t nowMs) const;

    bool operator==(const move_record &) const = default;
};

/** The key of the object that holds the move of @p service. */
std::string moveKey(const service_id &service);

/** A record in state canary; invalid_argument names every wrong field with what is allowed. */
outcome<move_record> startMove(const move_request &request, std::uint64_t nowMs);

json toJson(const move_record &record);
/** Decodes and checks a record; invalid_argument names every wrong field. */
outcome<move_record> parseMoveRecord(const json &document);

} // namespace snipefall
