#include "policy/version_choice.h"

namespace snipefall {

std::string_view toString(version_reason reason)
{
    switch (reason) {
    case version_reason::configured:
        return "configured";
    case version_reason::move_share:
        return "move_share";
    case version_reason::move_remainder:
        return "move_remainder";
    case version_reason::move_done:
        return "move_done";
    case version_reason::rolled_back:
        return "rolled_back";
    case version_reason::bad_version:
        return "bad_version";
    case version_reason::not_yet_known:
        return "not_yet_known";
    }
    return "unknown";
}

} // namespace snipefall
