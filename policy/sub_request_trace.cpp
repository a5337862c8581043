#include "policy/sub_request_trace.h"

namespace snipefall {

std::string_view toString(sub_request_kind kind)
{
    switch (kind) {
    case sub_request_kind::first:
        return "first";
    case sub_request_kind::hedge:
        return "hedge";
    case sub_request_kind::retry:
        return "retry";
    case sub_request_kind::restart:
        return "restart";
    }
    return "unknown";
}

std::string_view outcomeName(const sub_request_trace &sub)
{
    switch (sub.end) {
    case sub_request_end::running:
        return "running";
    case sub_request_end::answered:
        return "answered";
    case sub_request_end::failed:
        return toString(sub.failure);
    case sub_request_end::cancelled:
        return "cancelled";
    case sub_request_end::abandoned:
        return "abandoned";
    }
    return "unknown";
}

} // namespace snipefall
