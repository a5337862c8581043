#pragma once

#include <cstddef>
#include <functional>

#include "core/ids.h"

namespace snipefall {

/** Key by which a latency_estimator groups its samples. */
struct latency_key
{
    service_id service;
    version_id version;

    bool operator==(const latency_key &) const = default;
};

} // namespace snipefall

template <>
struct std::hash<snipefall::latency_key>
{
    std::size_t operator()(const snipefall::latency_key &key) const
    {
        return std::hash<snipefall::service_id>{}(key.service) * 31 + std::hash<snipefall::version_id>{}(key.version);
    }
};
