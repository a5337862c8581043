#pragma once

#include <vector>

#include "store/claim_bucket.h"
#include "store/claim_operation.h"

namespace snipefall {

/** Identifies the node process that owns a claim. */
struct claimant
{
    node_id node;
    incarnation started;
};

/** Builds the next value of a bucket by applying operations to the value that was read; performs no I/O. */
class claim_draft
{
public:
    /** @p fresh says that @p base was read for this draft; the states in a cached base may be stale. */
    claim_draft(claim_bucket base, bool fresh, const claimant &self, std::uint64_t nowMs);

    /** Applies the operation to the draft, or settles it at once if the base already determines its result. */
    void stage(claim_operation &operation);
    /** Applies an unsaved result that is written together with other operations and does not need a write of its own. */
    void stageUnsaved(const claim_operation &record);

    /** Whether an operation could not be decided on a cached base and the bucket must be read again. */
    bool needsFreshBase() const { return m_needsFreshBase; }
    bool hasPendingOperations() const { return !m_pending.empty(); }
    /** The serialized bucket to write; claims that don't fit into the object are settled as refused, so check hasPendingOperations() afterwards. */
    std::string text();
    object_version baseVersion() const { return m_bucket.version; }

    /** Settles the pending operations as claimed, after the write of text() took effect. */
    void settleWritten();
    claim_bucket takeBucket() { return std::move(m_bucket); }
    /** Ids of the records that were applied by stageUnsaved(). */
    const std::vector<request_id> &stagedUnsavedIds() const { return m_stagedUnsavedIds; }

private:
    void stageClaim(claim_operation &operation);
    void stageRecord(claim_operation &operation);
    claim_entry *findOwnEntry(const claim_operation &record);
    bool apply(const claim_operation &record, claim_entry &entry) const;

    claim_bucket m_bucket;
    bool m_baseIsFresh;
    const claimant &m_self;
    std::uint64_t m_nowMs;
    bool m_needsFreshBase = false;
    std::vector<claim_operation *> m_pending;
    std::vector<request_id> m_stagedUnsavedIds;
};

/** Settles an operation as refused. */
void refuse(claim_operation &operation, failure reason);
/** The reason why an id may not be claimed at this time, if any. */
std::optional<failure> checkRequestId(const request_id &id, std::uint64_t nowMs);

} // namespace snipefall
