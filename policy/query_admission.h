#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/recent_minimum.h"

namespace snipefall {

struct request_route;
struct request_times;

/**
 * Decides which queries are admitted when more arrive than the servers of their shards can answer in time.
 *
 * Load pattern: a query needs nearly all shards. Without a limit every query gets a part of every server, all queues grow alike and no query is answered in
 * time. A query that is rejected on arrival costs the servers nothing, and the admitted ones stay in time.
 *
 * The load is read from the response time of queries, the time until their minimum coverage is reached. All nodes see the queues of the same servers, so each
 * admits the same share of its own queries, and nodes need not know of each other. A proportional-integral controller adjusts the share so that the response
 * time stays below a part of the target latency. Routes to the same shards have one share, and the route that is closest to its limit decides.
 */
class query_admission
{
public:
    /** @p seed initialises the random numbers that spread the return of rejected callers. */
    explicit query_admission(std::uint64_t seed);

    /** Whether a query that arrives now is admitted. The admitted ones are spread evenly among those that arrive. */
    bool admit(const request_route &route, time_point now);
    /** Records the response time of an admitted query; for a late one, the time that has passed so far. */
    void recordResponse(const request_route &route, duration responseTime, time_point now);
    /** Whether queries on @p route are rejected now to protect the servers. */
    bool isThrottled(const request_route &route, time_point now) const;
    /**
     * The time after which the rejected caller of a request with these @p times may come back: early enough for an answer in time, if that is possible. It is
     * drawn at random, so that rejected callers don't return together.
     */
    duration retryAfter(const request_route &route, const request_times &times, time_point now);

    /** Number of routes whose response times are kept. */
    std::size_t routeCount() const;

private:
    struct route_state
    {
        duration target{}; ///< Target latency of the route.
        double responseUs = 0; ///< Moving average of the response time.
        recent_minimum unloadedUs; ///< The lowest average of late.
        std::optional<time_point> updated;
    };
    /** State of the routes that query the same shards. The admitted share is the exponential of the negative sum of both parts of the controller. */
    struct shard_group
    {
        std::unordered_map<std::string, route_state> routes;
        double integral = 0;
        double proportional = 0;
        double credit = 1; ///< Grows by the admitted share with each arrival; admitting a query takes 1.
        std::optional<time_point> updated;

        double admittedShare(time_point now) const;
        /** How far the route closest to its limit is above it, relative to the limit; negative below. */
        double excess(time_point now) const;
    };

    static const service_id &keyOf(const request_route &route);
    const shard_group *findGroup(const request_route &route) const;
    duration expectedResponse(const request_route &route) const;

    std::unordered_map<service_id, shard_group> m_groups; ///< By the least service of their shards.
    std::mt19937_64 m_randomEngine;
};

} // namespace snipefall
