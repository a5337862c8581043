#pragma once

#include <initializer_list>
#include <string_view>

#include "core/ids.h"
#include "core/strong_number.h"

namespace snipefall {

/** Names requests that do the same on a backend server: a hash of all that tells them apart. */
using request_fingerprint = strong_number<struct request_fingerprint_tag>;

/** The hash of @p parts, for example service, route and body. */
request_fingerprint fingerprintOf(std::initializer_list<std::string_view> parts);

} // namespace snipefall
