#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>

#include "core/ids.h"
#include "policy/shared_retry_limits.h"

namespace snipefall {

/** What an extra sub-request is sent for; failures may use all of the budget, hedges leave a part to them. */
enum class extra_send
{
    hedge,
    retry,
};

/**
 * This node's share of the budget for hedges and retries, for each service.
 *
 * The bound holds over all nodes in every window. A node keeps it for the requests that it received itself and takes an even part of the slack, so that the
 * sum of the nodes keeps it without messages between them.
 */
class shared_retry_budget
{
public:
    /** @p nodes is the number of nodes that may be sending, this one included. */
    void setLimits(const shared_retry_limits &limits, std::size_t nodes);

    void countRequest(const service_id &service, time_point now);
    /** Takes a token for one extra sub-request; false when the budget is used up. */
    bool tryAcquire(const service_id &service, extra_send purpose, time_point now);

private:
    static constexpr std::size_t BUCKETS = 50;

    struct counts
    {
        std::array<std::uint32_t, BUCKETS> requests{};
        std::array<std::uint32_t, BUCKETS> extras{};
        std::uint64_t requestSum = 0;
        std::uint64_t extraSum = 0;
        std::int64_t bucket = 0;
    };

    counts &advanced(const service_id &service, time_point now);

    shared_retry_limits m_limits;
    double m_slackShare = 0;
    std::unordered_map<service_id, counts> m_services;
};

} // namespace snipefall
