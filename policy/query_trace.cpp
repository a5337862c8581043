#include "policy/query_trace.h"

#include <algorithm>
#include <tuple>

#include "core/invariant.h"

namespace snipefall {

namespace {

std::size_t entryCountOf(const shard_trace &shard)
{
    return std::max<std::size_t>(1, shard.subRequests.size());
}

/** Time from the first send of a shard to the last end of its sub-requests. */
duration spanOf(const shard_trace &shard)
{
    duration span{};
    for (const sub_request_trace &sub : shard.subRequests) {
        span = std::max(span, sub.endedAt.value_or(sub.sentAt) - shard.subRequests.front().sentAt);
    }
    return span;
}

/** Orders shards by how much they explain a slow or incomplete answer: missing ones first, then those with several sub-requests, then the slowest. */
bool explainsMore(const shard_trace &left, const shard_trace &right)
{
    const auto rank = [](const shard_trace &shard) { return std::tuple(shard.missing.has_value(), shard.subRequests.size() > 1, spanOf(shard)); };
    return rank(left) > rank(right);
}

} // namespace

void query_trace::beginRun(std::shared_ptr<const query_plan> plan)
{
    SNIPEFALL_INVARIANT(plan != nullptr, "query_trace::beginRun() needs a plan");
    m_plan = std::move(plan);
    m_inFlight.clear();
    m_missing.clear();
    m_runs += 1;
}

void query_trace::answered(sub_request_id sub, bool merged, time_point now)
{
    if (!merged) {
        failed(sub, shard_failure::invalid_answer, now);
        return;
    }
    if (sub_request_trace *const entry = findRunning(sub)) {
        end(*entry, sub_request_end::answered, now);
    }
}

void query_trace::failed(sub_request_id sub, shard_failure kind, time_point now)
{
    if (sub_request_trace *const entry = findRunning(sub)) {
        end(*entry, sub_request_end::failed, now);
        entry->failure = kind;
    }
}

void query_trace::denied(sub_request_id sub)
{
    m_denials += 1;
    const auto found = m_subRequests.find(sub);
    if (found == m_subRequests.end()) {
        return;
    }
    if (found->second.end == sub_request_end::running) {
        m_inFlight[found->second.shard] -= 1;
    }
    m_subRequests.erase(found);
}

void query_trace::record(const query_actions &actions, time_point now)
{
    SNIPEFALL_INVARIANT(m_plan != nullptr, "query_trace::beginRun() must be called before record()");
    const bool ends = actions.finish.has_value() || actions.restartOnNewerSnapshot;
    for (const send_action &send : actions.sends) {
        if (ends) {
            break;
        }
        sub_request_trace entry;
        entry.shard = send.shard;
        entry.server = m_plan->servers[send.server.value()];
        entry.snapshot = m_plan->snapshot;
        entry.sentAt = now;
        std::uint32_t &inFlight = m_inFlight[send.shard];
        if (send.extra) {
            entry.kind = inFlight > 0 ? sub_request_kind::hedge : sub_request_kind::retry;
        } else {
            entry.kind = m_runs > 1 ? sub_request_kind::restart : sub_request_kind::first;
        }
        inFlight += 1;
        m_subRequests.emplace(send.sub, std::move(entry));
    }
    for (const cancel_action &cancel : actions.cancels) {
        if (sub_request_trace *const entry = findRunning(cancel.sub)) {
            end(*entry, actions.restartOnNewerSnapshot ? sub_request_end::abandoned : sub_request_end::cancelled, now);
        }
    }
    if (!actions.finish) {
        return;
    }
    m_missing = actions.finish->covered.missing;
    // The sub-requests of a missing shard were cancelled by the end of the query, not because another one answered first, so they failed as late.
    for (auto &[id, sub] : m_subRequests) {
        const auto same = [shard = sub.shard](const missing_shard &missing) { return missing.shard == shard; };
        if (sub.end == sub_request_end::cancelled && sub.endedAt == now && std::any_of(m_missing.begin(), m_missing.end(), same)) {
            sub.end = sub_request_end::failed;
            sub.failure = shard_failure::late;
        }
    }
}

trace_summary query_trace::summary(std::size_t maxEntries) const
{
    trace_summary result;
    result.shards = byShard();
    std::size_t total = 0;
    for (const shard_trace &shard : result.shards) {
        total += entryCountOf(shard);
    }
    if (total <= maxEntries) {
        return result;
    }
    std::stable_sort(result.shards.begin(), result.shards.end(), explainsMore);
    std::size_t kept = 0;
    std::size_t entries = 0;
    while (kept < result.shards.size() && entries + entryCountOf(result.shards[kept]) <= maxEntries) {
        entries += entryCountOf(result.shards[kept]);
        kept += 1;
    }
    for (std::size_t index = kept; index < result.shards.size(); ++index) {
        result.omittedSubRequests += result.shards[index].subRequests.size();
    }
    result.omittedShards = result.shards.size() - kept;
    result.shards.resize(kept);
    std::sort(result.shards.begin(), result.shards.end(), [](const shard_trace &left, const shard_trace &right) { return left.shard < right.shard; });
    return result;
}

sub_request_trace *query_trace::findRunning(sub_request_id sub)
{
    const auto found = m_subRequests.find(sub);
    return found != m_subRequests.end() && found->second.end == sub_request_end::running ? &found->second : nullptr;
}

void query_trace::end(sub_request_trace &sub, sub_request_end end, time_point now)
{
    sub.end = end;
    sub.endedAt = now;
    m_inFlight[sub.shard] -= 1;
}

std::vector<shard_trace> query_trace::byShard() const
{
    std::map<shard_index, shard_trace> shards;
    for (const auto &[id, sub] : m_subRequests) {
        shards[sub.shard].subRequests.push_back(sub);
    }
    for (const missing_shard &missing : m_missing) {
        shards[missing.shard].missing = missing.reason;
    }
    std::vector<shard_trace> result;
    for (auto &[index, shard] : shards) {
        shard.shard = index;
        result.push_back(std::move(shard));
    }
    return result;
}

} // namespace snipefall
