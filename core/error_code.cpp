#include "core/error_code.h"

namespace snipefall {

std::string_view toString(error_code code)
{
    switch (code) {
    case error_code::invalid_argument:
        return "invalid_argument";
    case error_code::not_found:
        return "not_found";
    case error_code::conflict:
        return "conflict";
    case error_code::unavailable:
        return "unavailable";
    case error_code::unknown_result:
        return "unknown_result";
    case error_code::deadline_exceeded:
        return "deadline_exceeded";
    case error_code::overloaded:
        return "overloaded";
    case error_code::quarantined:
        return "quarantined";
    case error_code::permission_denied:
        return "permission_denied";
    case error_code::history_gone:
        return "history_gone";
    case error_code::no_permits:
        return "no_permits";
    case error_code::internal:
        return "internal";
    }
    return "internal";
}

} // namespace snipefall
