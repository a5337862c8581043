#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <span>
#include <vector>

#include <fmt/format.h>

#include "core/crypto.h"
#include "policy/uuid_v7.h"
#include "store/claim_draft.h"
#include "store/claim_memory.h"
#include "store/object_store.h"

namespace snipefall {

/** Reads and writes of one batch before it is refused because of conflicts. */
constexpr int MAX_CLAIM_ATTEMPTS = 8;
/** Records that wait for the next write of their bucket. */
constexpr std::size_t MAX_UNSAVED_RECORDS = 1'000;
/** Bytes of bucket texts for which a node keeps the parsed form, which takes about three times as much. */
constexpr std::size_t MAX_CACHED_CLAIM_BYTES = 8'000'000;

struct claim_log_options
{
    claimant self;
    std::uint64_t nonceSeed = 0; ///< Random; makes nonces differ between processes that share a node id and an incarnation by mistake.
    std::function<std::uint64_t()> wallClockMs; ///< Milliseconds since 1970.
    std::size_t maxBatch = 256; ///< Operations in one write; 1 turns group commit off.
};

/**
 * Claims of non-idempotent requests in the objects claims/<service>/<bucket>.
 *
 * Operations on one bucket that arrive while a write is under way are written together by one of the waiting threads. Thread-safe; all calls block.
 */
template <object_store Store>
class claim_log
{
public:
    /** @p store must outlive the log. */
    claim_log(Store &store, claim_log_options options)
        : m_store(store)
        , m_options(std::move(options))
    {
    }

    /** Claims the id for this process. Only a result of claimed allows to run the request. */
    claim_result claim(const service_id &service, const request_id &id);
    /**
     * Merges the result of a claim of this process and gives its state. A result that can't be saved now is remembered and goes along with the
     * next write of its bucket, or with saveUnsaved(). Failures: not_found, conflict (another final state is recorded), unavailable.
     */
    outcome<claim_state> recordResult(const service_id &service, const request_id &id, object_version token, claim_state state, const std::string &body);
    /** Tries to write the remembered results, at most one write a bucket; to be called about every second. */
    void saveUnsaved();

private:
    using kind = claim_result::kind;
    using operations = std::span<claim_operation *const>;

    struct bucket
    {
        service_id service;
        std::string key;
        std::mutex mutex; ///< Guards the queue and hasLeader; the other members belong to the leader.
        std::condition_variable changed;
        std::deque<claim_operation *> queue;
        bool hasLeader = false;
        std::optional<claim_bucket> cache;
        std::size_t cachedBytes = 0;
        std::map<request_id, claim_operation> unsaved;
    };

    std::vector<bucket *> buckets();
    bucket &bucketOf(const service_id &service, const request_id &id);
    std::string nextNonce();
    void submit(bucket &target, claim_operation &operation);
    std::vector<claim_operation *> takeBatch(bucket &target) const;
    void commitBatch(bucket &target, operations batch);
    /** One read, if needed, and one write; an empty batch saves the remembered results. Returns whether another attempt may settle what is left. */
    bool attempt(bucket &target, operations batch, failure &reason, bool &mayHaveLanded);
    std::optional<claim_bucket> takeBase(bucket &target, failure &reason);
    void keepCache(bucket &target, claim_bucket &&value, std::size_t bytes);
    void finishClaim(bucket &target, claim_operation &operation, const failure &reason, bool mayHaveLanded);
    void finishRecord(bucket &target, claim_operation &operation, const failure &reason);
    void keepUnsaved(bucket &target, claim_operation record);

    Store &m_store;
    const claim_log_options m_options;
    claim_memory m_memory;
    std::mutex m_mutex; ///< Guards the members below.
    std::map<std::string, std::unique_ptr<bucket>> m_buckets;
    std::uint64_t m_nonces = 0;
    std::size_t m_cachedBytes = 0;
};

template <object_store Store>
claim_result claim_log<Store>::claim(const service_id &service, const request_id &id)
{
    if (auto reason = checkRequestId(id, m_options.wallClockMs())) {
        return {kind::refused, {}, {}, std::move(*reason)};
    }
    claim_operation operation;
    operation.id = request_id(uuid_v7::parse(id.str())->text());
    if (m_memory.find(service, operation.id) == claim_state::not_run) {
        return {kind::refused, {}, {}, {error_code::unavailable, "this node has refused the request before, and never runs it"}};
    }
    operation.nonce = nextNonce();
    submit(bucketOf(service, operation.id), operation);
    return std::move(operation.result);
}

template <object_store Store>
outcome<claim_state>
claim_log<Store>::recordResult(const service_id &service, const request_id &id, object_version token, claim_state state, const std::string &body)
{
    const auto parsedId = uuid_v7::parse(id.str());
    if (!parsedId || state == claim_state::running) {
        return failure{error_code::invalid_argument, "a result needs a UUIDv7 and one of the states ran, unknown and not_run"};
    }
    claim_operation operation;
    operation.type = claim_operation::kind::record;
    operation.id = request_id(parsedId->text());
    operation.token = token;
    operation.state = state;
    operation.resultHash = sha256Hex(body);
    operation.resultBody = storableResultBody(body);
    if (m_memory.find(service, operation.id)) {
        m_memory.remember(service, operation.id, state);
    }
    submit(bucketOf(service, operation.id), operation);
    if (operation.result.status == kind::claimed) {
        return state;
    }
    return operation.result.reason;
}

template <object_store Store>
void claim_log<Store>::saveUnsaved()
{
    for (bucket *target : buckets()) {
        {
            const std::lock_guard lock(target->mutex);
            // A write under way takes the results along.
            if (target->hasLeader || target->unsaved.empty()) {
                continue;
            }
            target->hasLeader = true;
        }
        commitBatch(*target, {});
        const std::lock_guard lock(target->mutex);
        target->hasLeader = false;
        target->changed.notify_all();
    }
}

template <object_store Store>
std::vector<typename claim_log<Store>::bucket *> claim_log<Store>::buckets()
{
    const std::lock_guard lock(m_mutex);
    std::vector<bucket *> all;
    all.reserve(m_buckets.size());
    for (const auto &[key, target] : m_buckets) {
        all.push_back(target.get());
    }
    return all;
}

template <object_store Store>
typename claim_log<Store>::bucket &claim_log<Store>::bucketOf(const service_id &service, const request_id &id)
{
    const std::string key = claim_bucket::keyOf(service, claim_bucket::indexOf(id));
    const std::lock_guard lock(m_mutex);
    auto &target = m_buckets[key];
    if (!target) {
        target = std::make_unique<bucket>();
        target->service = service;
        target->key = key;
    }
    return *target;
}

template <object_store Store>
std::string claim_log<Store>::nextNonce()
{
    const std::lock_guard lock(m_mutex);
    return fmt::format("{:x}-{:x}", m_options.nonceSeed, ++m_nonces);
}

template <object_store Store>
void claim_log<Store>::submit(bucket &target, claim_operation &operation)
{
    std::unique_lock lock(target.mutex);
    target.queue.push_back(&operation);
    while (true) {
        target.changed.wait(lock, [&] { return operation.done || !target.hasLeader; });
        if (operation.done) {
            return;
        }
        const std::vector<claim_operation *> batch = takeBatch(target);
        target.hasLeader = true;
        lock.unlock();
        commitBatch(target, batch);
        lock.lock();
        for (claim_operation *settled : batch) {
            settled->done = true;
        }
        target.hasLeader = false;
        target.changed.notify_all();
    }
}

template <object_store Store>
std::vector<claim_operation *> claim_log<Store>::takeBatch(bucket &target) const
{
    std::vector<claim_operation *> batch;
    std::deque<claim_operation *> left;
    std::set<request_id> ids;
    for (claim_operation *operation : target.queue) {
        // A repeat waits for the next batch: what it is told must rest on a claim that is written.
        if (batch.size() < m_options.maxBatch && ids.insert(operation->id).second) {
            batch.push_back(operation);
            continue;
        }
        left.push_back(operation);
    }
    target.queue = std::move(left);
    return batch;
}

template <object_store Store>
void claim_log<Store>::commitBatch(bucket &target, operations batch)
{
    failure reason;
    bool mayHaveLanded = false;
    for (int count = 0; count < MAX_CLAIM_ATTEMPTS; ++count) {
        if (!attempt(target, batch, reason, mayHaveLanded)) {
            break;
        }
    }
    for (claim_operation *operation : batch) {
        if (operation->type == claim_operation::kind::claim) {
            finishClaim(target, *operation, reason, mayHaveLanded);
        } else {
            finishRecord(target, *operation, reason);
        }
    }
}

template <object_store Store>
bool claim_log<Store>::attempt(bucket &target, operations batch, failure &reason, bool &mayHaveLanded)
{
    const bool fresh = !target.cache;
    const std::size_t cachedBytes = target.cachedBytes;
    auto base = takeBase(target, reason);
    if (!base) {
        return false;
    }
    claim_draft draft(std::move(*base), fresh, m_options.self, m_options.wallClockMs());
    for (claim_operation *operation : batch) {
        if (!operation->settled) {
            draft.stage(*operation);
        }
    }
    if (draft.needsFreshBase()) {
        return true;
    }
    if (!draft.hasPending() && !batch.empty()) {
        keepCache(target, draft.takeBucket(), cachedBytes);
        return false;
    }
    for (const auto &[id, record] : target.unsaved) {
        draft.stageAlong(record);
    }
    if (!draft.hasPending() && draft.staged().empty()) {
        keepCache(target, draft.takeBucket(), cachedBytes);
        return false;
    }
    std::string text = draft.text();
    if (!draft.hasPending() && !batch.empty()) {
        return false;
    }
    const std::size_t bytes = text.size();
    const auto written = m_store.write(call_purpose::claim, target.key, std::move(text), draft.baseVersion());
    if (!written) {
        reason = written.reason();
        const bool notSent = reason.code == error_code::unavailable || reason.code == error_code::overloaded;
        mayHaveLanded = mayHaveLanded || (!notSent && reason.code != error_code::conflict);
        return !notSent;
    }
    draft.settleWritten();
    for (const request_id &id : draft.staged()) {
        target.unsaved.erase(id);
    }
    claim_bucket bucketNow = draft.takeBucket();
    bucketNow.version = *written;
    keepCache(target, std::move(bucketNow), bytes);
    return false;
}

template <object_store Store>
std::optional<claim_bucket> claim_log<Store>::takeBase(bucket &target, failure &reason)
{
    if (target.cache) {
        const std::lock_guard lock(m_mutex);
        m_cachedBytes -= std::exchange(target.cachedBytes, 0);
        return std::exchange(target.cache, std::nullopt);
    }
    const auto found = m_store.read(call_purpose::claim, target.key);
    if (!found && found.reason().code == error_code::not_found) {
        return claim_bucket();
    }
    if (!found) {
        reason = found.reason();
        return std::nullopt;
    }
    auto parsedBucket = claim_bucket::parse(*found);
    if (!parsedBucket) {
        reason = parsedBucket.reason();
        return std::nullopt;
    }
    return std::move(parsedBucket.value());
}

template <object_store Store>
void claim_log<Store>::keepCache(bucket &target, claim_bucket &&value, std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    if (m_cachedBytes + bytes > MAX_CACHED_CLAIM_BYTES) {
        return;
    }
    m_cachedBytes += bytes;
    target.cachedBytes = bytes;
    target.cache = std::move(value);
}

template <object_store Store>
void claim_log<Store>::finishClaim(bucket &target, claim_operation &operation, const failure &reason, bool mayHaveLanded)
{
    if (!operation.settled) {
        const auto known = m_memory.find(target.service, operation.id);
        if (known && *known != claim_state::not_run) {
            operation.result = {kind::already_claimed, {}, claim_entry{m_options.self.node, m_options.self.started, {}, {}, *known, {}, {}}, {}};
            return;
        }
        refuse(operation, reason);
    }
    if (operation.result.status == kind::claimed) {
        m_memory.remember(target.service, operation.id, claim_state::running);
    }
    if (operation.result.status != kind::refused || !mayHaveLanded) {
        return;
    }
    // The write may still take effect. This process must never run the request, and tells the others with its next write.
    m_memory.remember(target.service, operation.id, claim_state::not_run);
    claim_operation record;
    record.type = claim_operation::kind::record;
    record.id = operation.id;
    record.nonce = operation.nonce;
    record.state = claim_state::not_run;
    keepUnsaved(target, std::move(record));
}

template <object_store Store>
void claim_log<Store>::finishRecord(bucket &target, claim_operation &operation, const failure &reason)
{
    if (operation.settled) {
        return;
    }
    keepUnsaved(target, operation);
    refuse(operation, reason);
}

template <object_store Store>
void claim_log<Store>::keepUnsaved(bucket &target, claim_operation record)
{
    request_id id = record.id;
    target.unsaved.insert_or_assign(std::move(id), std::move(record));
    if (target.unsaved.size() > MAX_UNSAVED_RECORDS) {
        target.unsaved.erase(target.unsaved.begin());
    }
}

} // namespace snipefall
