#pragma once

#include <vector>

#include "store/claim_bucket.h"
#include "store/claim_operation.h"

namespace snipefall {

/** Who writes claims. */
struct claimant
{
    node_id node;
    incarnation started;
};

/** The next value of a bucket: pure rules for applying operations to what was read. */
class claim_draft
{
public:
    /** @p fresh tells that the base was read for this draft; states of a kept base may be outdated. */
    claim_draft(claim_bucket base, bool fresh, const claimant &self, std::uint64_t nowMs);

    /** Applies the operation, or settles it when the base decides it. */
    void stage(claim_operation &operation);
    /** Applies a record that alone is not worth a write. */
    void stageAlong(const claim_operation &record);

    /** Whether an operation needs a base that was read now. */
    bool needsFreshBase() const { return m_needsFreshBase; }
    bool hasPending() const { return !m_pending.empty(); }
    /** The value to write; claims that don't fit are settled as refused, so check hasPending() afterwards. */
    std::string text();
    object_version baseVersion() const { return m_bucket.version; }

    /** Settles the pending operations after the write of text() took effect. */
    void settleWritten();
    claim_bucket takeBucket() { return std::move(m_bucket); }
    /** Ids of the records that were applied by stageAlong(). */
    const std::vector<request_id> &staged() const { return m_staged; }

private:
    void stageClaim(claim_operation &operation);
    void stageRecord(claim_operation &operation);
    claim_entry *findOwn(const claim_operation &record);
    bool apply(const claim_operation &record, claim_entry &entry) const;

    claim_bucket m_bucket;
    bool m_fresh;
    const claimant &m_self;
    std::uint64_t m_nowMs;
    bool m_needsFreshBase = false;
    std::vector<claim_operation *> m_pending;
    std::vector<request_id> m_staged;
};

/** Settles an operation as refused. */
void refuse(claim_operation &operation, failure reason);
/** The reason why an id may not be claimed at this time, if any. */
std::optional<failure> checkRequestId(const request_id &id, std::uint64_t nowMs);

} // namespace snipefall
