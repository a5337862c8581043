#pragma once

#include "core/ids.h"

namespace snipefall {

/** A service to which a route sends requests, and its weight among the targets of the route. */
struct route_target
{
    service_id service;
    double weight = 1.0;
};

} // namespace snipefall
