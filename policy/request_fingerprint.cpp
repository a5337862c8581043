#include "policy/request_fingerprint.h"

#include <string>

#include "core/crypto.h"

namespace snipefall {

request_fingerprint fingerprintOf(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts) {
        // The end of a part is no byte of a name, route or address.
        text += part;
        text += '\0';
    }
    if (!text.empty()) {
        text.pop_back();
    }
    return request_fingerprint(stableHash(text));
}

} // namespace snipefall
