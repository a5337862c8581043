#pragma once

#include <initializer_list>
#include <string_view>

#include "core/ids.h"
#include "core/strong_number.h"

namespace snipefall {

/** Identifies equivalent requests: a hash of everything that determines what a request does on a backend server. */
using request_fingerprint = strong_number<struct request_fingerprint_tag>;

/** The fingerprint of a request that consists of @p parts, for example service, route and body. */
request_fingerprint fingerprintOf(std::initializer_list<std::string_view> parts);

} // namespace snipefall
