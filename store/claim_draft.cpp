#include "store/claim_draft.h"

#include "policy/uuid_v7.h"

namespace snipefall {

namespace {

using op = claim_operation::kind;
using kind = claim_result::kind;

void settle(claim_operation &operation, claim_result result)
{
    operation.settled = true;
    operation.result = std::move(result);
}

} // namespace

void refuse(claim_operation &operation, failure reason)
{
    settle(operation, {kind::refused, {}, {}, std::move(reason)});
}

std::optional<failure> checkRequestId(const request_id &id, std::uint64_t nowMs)
{
    const auto parsedId = uuid_v7::parse(id.str());
    if (!parsedId) {
        return failure{error_code::invalid_argument, "the request id is not a UUID of version 7"};
    }
    switch (parsedId->checkAge(nowMs, CLAIM_RETENTION_MS, CLAIM_MAX_FUTURE_MS)) {
    case uuid_v7::age::too_old:
        return failure{error_code::invalid_argument, "the request id is older than 24 h"};
    case uuid_v7::age::too_far_ahead:
        return failure{error_code::invalid_argument, "the request id is more than 5 min ahead"};
    case uuid_v7::age::acceptable:
        break;
    }
    return std::nullopt;
}

claim_draft::claim_draft(claim_bucket base, bool fresh, const claimant &self, std::uint64_t nowMs)
    : m_bucket(std::move(base))
    , m_baseIsFresh(fresh)
    , m_self(self)
    , m_nowMs(nowMs)
{
    m_bucket.removeExpired(nowMs);
}

void claim_draft::stage(claim_operation &operation)
{
    operation.type == op::claim ? stageClaim(operation) : stageRecord(operation);
}

void claim_draft::stageClaim(claim_operation &operation)
{
    const auto found = m_bucket.entries.find(operation.id);
    if (found != m_bucket.entries.end()) {
        const claim_entry &entry = found->second;
        if (entry.nonce == operation.nonce) {
            // An earlier write of this operation took effect although its response was lost.
            settle(operation, {kind::claimed, entry.token, {}, {}});
        } else if (!m_baseIsFresh && (entry.state == claim_state::running || entry.state == claim_state::unknown)) {
            m_needsFreshBase = true;
        } else {
            settle(operation, {kind::already_claimed, {}, entry, {}});
        }
        return;
    }
    // The age is checked again after the bucket was read: a node that was paused for a day must not claim an id whose expired entry was removed.
    if (auto reason = checkRequestId(operation.id, m_nowMs)) {
        refuse(operation, std::move(*reason));
        return;
    }
    operation.token = m_bucket.version.next();
    m_bucket.entries.emplace(operation.id, claim_entry{m_self.node, m_self.started, operation.nonce, operation.token, claim_state::running, {}, {}});
    m_pending.push_back(&operation);
}

void claim_draft::stageRecord(claim_operation &operation)
{
    claim_entry *entry = findOwnEntry(operation);
    if (entry == nullptr && !m_baseIsFresh) {
        m_needsFreshBase = true;
        return;
    }
    if (entry == nullptr) {
        refuse(operation, {error_code::not_found, "there is no such claim of this node"});
        return;
    }
    if (entry->state == operation.state && entry->resultHash == operation.resultHash) {
        settle(operation, {kind::claimed, entry->token, {}, {}});
        return;
    }
    if (!apply(operation, *entry)) {
        refuse(operation, {error_code::conflict, "the request is already recorded as " + std::string(toString(entry->state))});
        return;
    }
    m_pending.push_back(&operation);
}

void claim_draft::stageUnsaved(const claim_operation &record)
{
    claim_entry *entry = findOwnEntry(record);
    if (entry == nullptr) {
        return;
    }
    apply(record, *entry);
    m_stagedUnsavedIds.push_back(record.id);
}

claim_entry *claim_draft::findOwnEntry(const claim_operation &record)
{
    const auto found = m_bucket.entries.find(record.id);
    if (found == m_bucket.entries.end() || found->second.node != m_self.node || found->second.started != m_self.started) {
        return nullptr;
    }
    const bool own = record.nonce.empty() ? found->second.token == record.token : found->second.nonce == record.nonce;
    return own ? &found->second : nullptr;
}

bool claim_draft::apply(const claim_operation &record, claim_entry &entry) const
{
    if (!canTransition(entry.state, record.state)) {
        return false;
    }
    entry.state = record.state;
    entry.resultHash = record.resultHash;
    entry.resultBody = record.resultBody;
    return true;
}

std::string claim_draft::text()
{
    const std::size_t reserved = m_bucket.entriesWithoutResult() * CLAIM_RESULT_BYTES;
    if (reserved < MAX_CLAIM_BUCKET_BYTES) {
        if (auto fitted = m_bucket.textWithin(MAX_CLAIM_BUCKET_BYTES - reserved)) {
            return std::move(*fitted);
        }
    }
    std::erase_if(m_pending, [&](claim_operation *operation) {
        if (operation->type != op::claim) {
            return false;
        }
        m_bucket.entries.erase(operation->id);
        refuse(*operation, {error_code::overloaded, "the bucket of claims is full"});
        return true;
    });
    return m_bucket.textWithin(MAX_CLAIM_BUCKET_BYTES).value_or(m_bucket.text());
}

void claim_draft::settleWritten()
{
    for (claim_operation *operation : m_pending) {
        settle(*operation, {kind::claimed, operation->token, {}, {}});
    }
    m_pending.clear();
}

} // namespace snipefall
