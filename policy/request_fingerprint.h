#pragma once

#include <cstdint>
#include <string_view>

#include "core/ids.h"
#include "core/strong_number.h"

namespace snipefall {

/** Names requests that do the same on a backend server: the hash of service, route and body. */
using request_fingerprint = strong_number<struct request_fingerprint_tag>;

request_fingerprint fingerprintOf(const service_id &service, std::string_view route, std::string_view body);

} // namespace snipefall
