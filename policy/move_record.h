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

/** Largest share of the queries that a move may start with (guarantee G5). */
constexpr std::uint32_t MAX_FIRST_SHARE_PERCENT = 5;
/** Shortest time from the start of a move to its deadline; each step takes at least one second. */
constexpr std::uint64_t MIN_MOVE_MS = 10'000;
/** 30 days; the observation period is limited because no other move of the service may start before it has ended. */
constexpr std::uint64_t MAX_OBSERVATION_MS = 30ULL * 24 * 3600 * 1000;

/** The state of a move, the staged rollout of a new version of a service. Value of the object moves/<service>. All times are wall clock milliseconds. */
struct move_record
{
    std::string moveId;
    service_id service;
    version_id from;
    version_id to;
    std::uint32_t sharePercent = 0; ///< Percentage of the queries that the new version may serve.
    move_state state = move_state::canary;
    std::uint64_t startedMs = 0;
    std::uint64_t deadlineMs = 0;
    std::uint64_t stepStartedMs = 0; ///< Time at which the current step started.
    std::uint64_t observationMs = 0; ///< Length of the observation period, which starts when the move is recorded as done.
    std::string reason; ///< Why the move was started or, when it is rolled back, why it was rolled back.
    std::string author;
    std::vector<move_step> steps; ///< Oldest first; the last one is the current step.

    /** True when no further write may change the record: the move was rolled back, or it is done and the observation period has ended. */
    bool isFinal(std::uint64_t nowMs) const;

    bool operator==(const move_record &) const = default;
};

/** The key of the object that holds the move_record of @p service. */
std::string moveKey(const service_id &service);

/** Creates a record in state canary; the message of invalid_argument names every invalid field with its allowed values. */
outcome<move_record> startMove(const move_request &request, std::uint64_t nowMs);

json toJson(const move_record &record);
/** Decodes and checks a record; the message of invalid_argument names every invalid field. */
outcome<move_record> parseMoveRecord(const json &document);

} // namespace snipefall
