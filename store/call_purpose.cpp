#include "store/call_purpose.h"

namespace snipefall {

const char *toString(call_purpose purpose)
{
    switch (purpose) {
    case call_purpose::configuration:
        return "configuration";
    case call_purpose::claim:
        return "claim";
    case call_purpose::permit:
        return "permit";
    case call_purpose::move:
        return "move";
    case call_purpose::membership:
        return "membership";
    case call_purpose::audit:
        return "audit";
    case call_purpose::account:
        return "account";
    }
    return "account";
}

} // namespace snipefall
