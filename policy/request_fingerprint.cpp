#include "policy/request_fingerprint.h"

#include <string>

#include "core/crypto.h"

namespace snipefall {

request_fingerprint fingerprintOf(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts) {
        // A zero byte separates the parts, because it does not occur in names, routes or addresses.
        text += part;
        text += '\0';
    }
    if (!text.empty()) {
        text.pop_back();
    }
    return request_fingerprint(stableHash(text));
}

} // namespace snipefall
