#include "policy/request_suspicion.h"

#include <fmt/format.h>

#include "core/json.h"
#include "policy/request_quarantine.h"

namespace snipefall {

fact encodeSuspicion(const request_suspicion &suspicion)
{
    const std::uint64_t request = suspicion.request.value();
    if (!suspicion.crash) {
        return makeFact(fact_kind::suspected_request,
                        fmt::format("cleared/{:016x}", request),
                        json{{"fingerprint", request}, {"cleared", true}}.dump(),
                        request_quarantine::RETENTION);
    }
    const crash_event &crash = *suspicion.crash;
    return makeFact(fact_kind::suspected_request,
                    fmt::format("suspected/{:016x}/{}/{}", request, crash.server.str(), crash.startedMs),
                    json{{"fingerprint", request}, {"server", crash.server.str()}, {"started_ms", crash.startedMs}}.dump(),
                    request_quarantine::RETENTION);
}

std::optional<request_suspicion> decodeSuspicion(const fact &published)
{
    const outcome<json> document = parseJson(published.payload);
    if (!document || !document->is_object() || !document->contains("fingerprint")) {
        return std::nullopt;
    }
    request_suspicion suspicion;
    suspicion.request = request_fingerprint(jsonValue<std::uint64_t>(*document, "fingerprint", 0));
    if (!jsonValue<bool>(*document, "cleared", false)) {
        suspicion.crash = crash_event{backend_server_id(jsonValue<std::string>(*document, "server", "")), jsonValue<std::uint64_t>(*document, "started_ms", 0)};
    }
    return suspicion;
}

} // namespace snipefall
