#include "policy/request_fingerprint.h"

#include <string>

#include "core/crypto.h"

namespace snipefall {

request_fingerprint fingerprintOf(const service_id &service, std::string_view route, std::string_view body)
{
    std::string text = service.str();
    // The separator can't be part of a service's name or a route.
    text += '\0';
    text += route;
    text += '\0';
    text += body;
    return request_fingerprint(stableHash(text));
}

} // namespace snipefall
