#include "http/transport_status.h"

namespace snipefall {

const char *toString(transport_status status)
{
    switch (status) {
    case transport_status::ok:
        return "ok";
    case transport_status::connect_failed:
        return "connect_failed";
    case transport_status::closed:
        return "closed";
    case transport_status::no_progress:
        return "no_progress";
    case transport_status::deadline_exceeded:
        return "deadline_exceeded";
    case transport_status::cancelled:
        return "cancelled";
    }
    return "closed";
}

} // namespace snipefall
