#include "node/query_trace_writer.h"

#include "core/invariant.h"

namespace snipefall {

namespace {

// Any client can send this header with any length; node ids are far shorter.
constexpr std::size_t MAX_FORWARDED_BY_LENGTH = 128;
constexpr double MICROSECONDS_PER_MS = 1000.0;

double milliseconds(duration time)
{
    return static_cast<double>(time.count()) / MICROSECONDS_PER_MS;
}

json subRequestToJson(const sub_request_trace &subRequest, time_point received)
{
    json result = {{"server", subRequest.server.str()},
                   {"kind", toString(subRequest.kind)},
                   {"snapshot", subRequest.snapshot.str()},
                   {"sent_ms", milliseconds(subRequest.sentAt - received)},
                   {"ended_ms", nullptr},
                   {"outcome", outcomeName(subRequest)}};
    if (subRequest.endedAt) {
        result["ended_ms"] = milliseconds(*subRequest.endedAt - received);
    }
    return result;
}

json shardToJson(const shard_trace &shard, time_point received)
{
    json subRequests = json::array();
    for (const sub_request_trace &subRequest : shard.subRequests) {
        subRequests.push_back(subRequestToJson(subRequest, received));
    }
    json result = {{"shard", shard.shard.value()}, {"missing", nullptr}, {"sub_requests", std::move(subRequests)}};
    if (shard.missing) {
        result["missing"] = toString(*shard.missing);
    }
    return result;
}

} // namespace

json traceToJson(const query_trace_context &context, time_point ended)
{
    const trace_summary summary = context.subRequests->summary(MAX_TRACE_ENTRIES);
    json shards = json::array();
    for (const shard_trace &shard : summary.shards) {
        shards.push_back(shardToJson(shard, context.received));
    }
    json result = {{"node", context.node.str()},
                   {"forwarded_by", nullptr},
                   {"version", context.version.version.str()},
                   {"version_reason", toString(context.version.reason)},
                   {"admission_wait_ms", milliseconds(context.admissionWait)},
                   {"ended_ms", milliseconds(ended - context.received)},
                   {"restarts", context.subRequests->restarts()},
                   {"slots_denied", context.subRequests->denials()},
                   {"shards", std::move(shards)},
                   {"omitted_shards", summary.omittedShards},
                   {"omitted_sub_requests", summary.omittedSubRequests}};
    if (!context.forwardedBy.empty()) {
        result["forwarded_by"] = context.forwardedBy.substr(0, MAX_FORWARDED_BY_LENGTH);
    }
    return result;
}

void addTrace(http_response &response, const query_trace_context &context, time_point ended)
{
    SNIPEFALL_INVARIANT(response.body.ends_with("}"), "a traced response is a JSON object");
    // The body is built as text without a JSON document, so the member is appended as text, too.
    response.body.pop_back();
    response.body += R"(,"trace":)" + traceToJson(context, ended).dump(-1, ' ', false, json::error_handler_t::replace) + "}";
}

} // namespace snipefall
