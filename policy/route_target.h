#pragma once

#include "core/ids.h"

namespace snipefall {

/** A service that a route sends requests to, with its share of them. */
struct route_target
{
    service_id service;
    double weight = 1.0;
};

} // namespace snipefall
