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
#include "store/object_store.h"
#include "store/own_claim_cache.h"

namespace snipefall {

/** Attempts to read and write a bucket for one batch; after that many conflicts or lost responses, its unsettled operations are refused. */
constexpr int MAX_CLAIM_ATTEMPTS = 8;
/** Results per bucket that are held in memory until a write saves them; when there are more, the oldest request id is dropped. */
constexpr std::size_t MAX_UNSAVED_RECORDS = 1'000;
/** Serialized size, in bytes, of the buckets that a node caches in parsed form; the parsed form takes about three times as much memory. */
constexpr std::size_t MAX_CACHED_CLAIM_BYTES = 8'000'000;

struct claim_log_options
{
    claimant self;
    std::uint64_t nonceSeed = 0; ///< Random; makes nonces differ between processes that share a node id and an incarnation by mistake.
    std::function<std::uint64_t()> wallClockMs; ///< Milliseconds since 1970.
    std::size_t maxBatch = 256; ///< Operations in one write; 1 disables group commit.
};

/**
 * Stores claims of non-idempotent requests in the objects claims/<service>/<bucket>.
 *
 * Group commit: operations that arrive while a bucket is being written are queued, and one of the waiting threads writes them together.
 * Thread-safe; all calls block.
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

    /** Claims the request id for this process. The request may be run only if the result is claimed. */
    claim_result claim(const service_id &service, const request_id &id);
    /**
     * Records the result of a request that this process claimed and returns the recorded state. A result that can't be saved is kept in memory
     * and saved with the next write of its bucket or by saveUnsaved(). Failures: not_found (no such claim of this process), conflict (another
     * final state is recorded), unavailable.
     */
    outcome<claim_state> recordResult(const service_id &service, const request_id &id, object_version token, claim_state state, const std::string &body);
    /** Tries to save the results kept in memory, committing at most one batch per bucket; to be called about every second. */
    void saveUnsaved();

private:
    using kind = claim_result::kind;
    using operations = std::span<claim_operation *const>;

    struct bucket
    {
        service_id service;
        std::string key;
        std::mutex mutex; ///< Guards queue, hasLeader and claim_operation::batchFinished; only the leader thread accesses the other mutable members.
        std::condition_variable changed;
        std::deque<claim_operation *> queue;
        bool hasLeader = false;
        std::optional<claim_bucket> cache;
        std::size_t cachedBytes = 0;
        std::map<request_id, claim_operation> unsaved;
    };

    std::vector<bucket *> buckets();
    bucket &findOrCreateBucket(const service_id &service, const request_id &id);
    std::string nextNonce();
    void submit(bucket &target, claim_operation &operation);
    std::vector<claim_operation *> takeBatch(bucket &target) const;
    void commitBatch(bucket &target, operations batch);
    /**
     * Reads the bucket if it is not cached and writes it once; an empty batch saves only the unsaved results.
     *
     * @return whether another attempt may settle the remaining operations
     */
    bool tryCommit(bucket &target, operations batch, failure &reason, bool &mayBeWritten);
    std::optional<claim_bucket> takeBaseBucket(bucket &target, failure &reason);
    void storeInCache(bucket &target, claim_bucket &&value, std::size_t bytes);
    void finishClaim(bucket &target, claim_operation &operation, const failure &reason, bool mayBeWritten);
    void finishRecord(bucket &target, claim_operation &operation, const failure &reason);
    void addUnsaved(bucket &target, claim_operation record);

    Store &m_store;
    const claim_log_options m_options;
    own_claim_cache m_ownClaims;
    std::mutex m_mutex; ///< Guards the members below.
    std::map<std::string, std::unique_ptr<bucket>> m_buckets;
    std::uint64_t m_nonceCount = 0;
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
    if (m_ownClaims.find(service, operation.id) == claim_state::not_run) {
        return {kind::refused, {}, {}, {error_code::unavailable, "this node has refused the request before, and never runs it"}};
    }
    operation.nonce = nextNonce();
    submit(findOrCreateBucket(service, operation.id), operation);
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
    if (m_ownClaims.find(service, operation.id)) {
        m_ownClaims.updateState(service, operation.id, state);
    }
    submit(findOrCreateBucket(service, operation.id), operation);
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
            // The current leader saves these results with its write.
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
typename claim_log<Store>::bucket &claim_log<Store>::findOrCreateBucket(const service_id &service, const request_id &id)
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
    return fmt::format("{:x}-{:x}", m_options.nonceSeed, ++m_nonceCount);
}

template <object_store Store>
void claim_log<Store>::submit(bucket &target, claim_operation &operation)
{
    std::unique_lock lock(target.mutex);
    target.queue.push_back(&operation);
    while (true) {
        target.changed.wait(lock, [&] { return operation.batchFinished || !target.hasLeader; });
        if (operation.batchFinished) {
            return;
        }
        const std::vector<claim_operation *> batch = takeBatch(target);
        target.hasLeader = true;
        lock.unlock();
        commitBatch(target, batch);
        lock.lock();
        for (claim_operation *committed : batch) {
            committed->batchFinished = true;
        }
        target.hasLeader = false;
        target.changed.notify_all();
    }
}

template <object_store Store>
std::vector<claim_operation *> claim_log<Store>::takeBatch(bucket &target) const
{
    std::vector<claim_operation *> batch;
    std::deque<claim_operation *> deferred;
    std::set<request_id> ids;
    for (claim_operation *operation : target.queue) {
        // A second operation on the same id waits for the next batch: its result must depend only on a claim that is already written.
        if (batch.size() < m_options.maxBatch && ids.insert(operation->id).second) {
            batch.push_back(operation);
            continue;
        }
        deferred.push_back(operation);
    }
    target.queue = std::move(deferred);
    return batch;
}

template <object_store Store>
void claim_log<Store>::commitBatch(bucket &target, operations batch)
{
    failure reason;
    bool mayBeWritten = false;
    for (int count = 0; count < MAX_CLAIM_ATTEMPTS; ++count) {
        if (!tryCommit(target, batch, reason, mayBeWritten)) {
            break;
        }
    }
    for (claim_operation *operation : batch) {
        if (operation->type == claim_operation::kind::claim) {
            finishClaim(target, *operation, reason, mayBeWritten);
        } else {
            finishRecord(target, *operation, reason);
        }
    }
}

template <object_store Store>
bool claim_log<Store>::tryCommit(bucket &target, operations batch, failure &reason, bool &mayBeWritten)
{
    const bool fresh = !target.cache;
    const std::size_t cachedBytes = target.cachedBytes;
    auto base = takeBaseBucket(target, reason);
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
    if (!draft.hasPendingOperations() && !batch.empty()) {
        storeInCache(target, draft.takeBucket(), cachedBytes);
        return false;
    }
    for (const auto &[id, record] : target.unsaved) {
        draft.stageUnsaved(record);
    }
    if (!draft.hasPendingOperations() && draft.stagedUnsavedIds().empty()) {
        storeInCache(target, draft.takeBucket(), cachedBytes);
        return false;
    }
    std::string text = draft.text();
    if (!draft.hasPendingOperations() && !batch.empty()) {
        return false;
    }
    const std::size_t bytes = text.size();
    const auto written = m_store.write(call_purpose::claim, target.key, std::move(text), draft.baseVersion());
    if (!written) {
        reason = written.reason();
        const bool notSent = reason.code == error_code::unavailable || reason.code == error_code::overloaded;
        mayBeWritten = mayBeWritten || (!notSent && reason.code != error_code::conflict);
        return !notSent;
    }
    draft.settleWritten();
    for (const request_id &id : draft.stagedUnsavedIds()) {
        target.unsaved.erase(id);
    }
    claim_bucket committedBucket = draft.takeBucket();
    committedBucket.version = *written;
    storeInCache(target, std::move(committedBucket), bytes);
    return false;
}

template <object_store Store>
std::optional<claim_bucket> claim_log<Store>::takeBaseBucket(bucket &target, failure &reason)
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
void claim_log<Store>::storeInCache(bucket &target, claim_bucket &&value, std::size_t bytes)
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
void claim_log<Store>::finishClaim(bucket &target, claim_operation &operation, const failure &reason, bool mayBeWritten)
{
    if (!operation.settled) {
        const auto known = m_ownClaims.find(target.service, operation.id);
        if (known && *known != claim_state::not_run) {
            operation.result = {kind::already_claimed, {}, claim_entry{m_options.self.node, m_options.self.started, {}, {}, *known, {}, {}}, {}};
            return;
        }
        refuse(operation, reason);
    }
    if (operation.result.status == kind::claimed) {
        m_ownClaims.updateState(target.service, operation.id, claim_state::running);
    }
    if (operation.result.status != kind::refused || !mayBeWritten) {
        return;
    }
    // The write may still take effect. This process must never run the request and records not_run with its next write, so that other nodes see it.
    m_ownClaims.updateState(target.service, operation.id, claim_state::not_run);
    claim_operation record;
    record.type = claim_operation::kind::record;
    record.id = operation.id;
    record.nonce = operation.nonce;
    record.state = claim_state::not_run;
    addUnsaved(target, std::move(record));
}

template <object_store Store>
void claim_log<Store>::finishRecord(bucket &target, claim_operation &operation, const failure &reason)
{
    if (operation.settled) {
        return;
    }
    addUnsaved(target, operation);
    refuse(operation, reason);
}

template <object_store Store>
void claim_log<Store>::addUnsaved(bucket &target, claim_operation record)
{
    request_id id = record.id;
    target.unsaved.insert_or_assign(std::move(id), std::move(record));
    if (target.unsaved.size() > MAX_UNSAVED_RECORDS) {
        target.unsaved.erase(target.unsaved.begin());
    }
}

} // namespace snipefall
