#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>

#include "core/ids.h"
#include "policy/shared_retry_limits.h"

namespace snipefall {

/** Purpose of an extra sub-request. Retries may use the whole budget; hedges may use only a part of it, so that some is left for retries. */
enum class extra_send_purpose
{
    hedge,
    retry,
};

/**
 * Budget of this node for hedges and retries, per service.
 *
 * The bound in shared_retry_limits applies to the sum over all nodes in every sliding window. Each node applies the ratio to the requests that it received
 * itself and takes an equal share of the slack, so that the sum stays within the bound without communication between the nodes.
 */
class shared_retry_budget
{
public:
    /** @p nodes is the number of nodes that may be sending sub-requests, including this one. */
    void setLimits(const shared_retry_limits &limits, std::size_t nodes);

    /** Counts one request for @p service, which raises its budget for the length of the window. */
    void countRequest(const service_id &service, time_point now);
    /** Takes a token for one extra sub-request; returns false if the budget is exhausted. */
    bool tryAcquire(const service_id &service, extra_send_purpose purpose, time_point now);

private:
    static constexpr std::size_t BUCKETS = 50;

    struct window_counts
    {
        std::array<std::uint32_t, BUCKETS> requests{};
        std::array<std::uint32_t, BUCKETS> extras{};
        std::uint64_t requestSum = 0;
        std::uint64_t extraSum = 0;
        std::int64_t bucket = 0; ///< Number of the current bucket since the epoch.
    };

    /** Returns the counts of @p service after subtracting the buckets that have left the window. */
    window_counts &advanceWindow(const service_id &service, time_point now);

    shared_retry_limits m_limits;
    double m_slackShare = 0; ///< Part of the slack that this node may use.
    std::unordered_map<service_id, window_counts> m_services;
};

} // namespace snipefall
