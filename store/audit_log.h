#pragma once

#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "core/configuration_patch.h"
#include "policy/audit_chain.h"
#include "store/object_store.h"

namespace snipefall {

/** Entries in one object audit/<segment>; with entries of at most a few KB, the object stays below the platform's limit of 1 MB. */
constexpr std::size_t AUDIT_SEGMENT_ENTRIES = 200;
/** Attempts to write one batch that may fail with a conflict or a lost response before append() returns the failure. */
constexpr int MAX_AUDIT_ATTEMPTS = 8;

/**
 * The hash-chained audit trail in the platform: objects audit/<segment>, {"entries": [...], "previous_hash"}.
 *
 * The entry with sequence number n is in segment (n - 1) / 200 + 1. Nodes append by conditional writes. The "id" of an entry shows after a lost
 * response whether it was stored, so that an entry that is appended again is stored once. Thread-safe.
 */
template <object_store Store>
class audit_log
{
public:
    /** @p store must outlive the log. */
    explicit audit_log(Store &store)
        : m_store(store)
    {
    }

    /**
     * Appends entries with the members id, at_ms, who, what, from_version and why; adds sequence, previous_hash and hash.
     *
     * @return the number of leading entries that are stored, which is less than all if the segment is full; on failure, append the same entries again
     */
    outcome<std::size_t> append(const std::vector<json> &entries);
    /** Reads the entries after number @p sequence, up to the end of their segment; returns an empty array at the end of the log. */
    outcome<json> readAfter(std::uint64_t sequence);
    /** Reads and checks the whole chain: {"entries_checked", "head_hash", "problem"}; "problem" is empty if the chain is valid. */
    outcome<json> verify();
    /** Reads the newest segment, for a report: {"sequence", "head_hash", "previous_hash", "entries"}. */
    outcome<json> readLastSegment();

    static std::string segmentKey(std::uint64_t segment) { return fmt::format("audit/{:010}", segment); }

private:
    struct segment_state
    {
        std::uint64_t number = 1;
        object_version stored;
        std::string previousHash; ///< Hash of the last entry of the previous segment.
        json entries = json::array();

        std::string headHash() const { return entries.empty() ? previousHash : jsonValue<std::string>(entries.back(), "hash", ""); }
        std::uint64_t firstSequence() const { return (number - 1) * AUDIT_SEGMENT_ENTRIES + 1; }
    };

    outcome<segment_state> readSegment(std::uint64_t number);
    /** Searches for the last segment, starting at the last one that this log has seen. */
    outcome<segment_state> findLast();
    static void addEntry(segment_state &segment, json entry);
    /** Counts the leading entries of @p entries that are stored in @p segment. */
    static std::size_t countStored(const segment_state &segment, const std::vector<json> &entries);

    Store &m_store;
    std::mutex m_mutex;
    std::uint64_t m_lastKnownSegment = 1; ///< The newest segment that was seen; 1 if none was.
    std::uint64_t m_lastWrittenSegment = 1; ///< The segment of the last write, whose response may have been lost.
};

template <object_store Store>
auto audit_log<Store>::readSegment(std::uint64_t number) -> outcome<segment_state>
{
    const auto found = m_store.read(call_purpose::audit, segmentKey(number));
    if (!found) {
        return found.reason();
    }
    const outcome<json> document = parseJson(found->value);
    if (!document || !document->is_object() || !document->value("entries", json()).is_array()) {
        return failure{error_code::internal, "the object " + segmentKey(number) + " is malformed"};
    }
    return segment_state{number, found->version, jsonValue<std::string>(*document, "previous_hash", ""), (*document)["entries"]};
}

template <object_store Store>
auto audit_log<Store>::findLast() -> outcome<segment_state>
{
    // Segments are contiguous, so an exponential search finds the last one: the distance doubles until a segment is absent, then halves.
    outcome<segment_state> last = readSegment(m_lastKnownSegment);
    if (!last) {
        return m_lastKnownSegment == 1 && last.reason().code == error_code::not_found ? outcome<segment_state>(segment_state()) : last;
    }
    bool isDoubling = true;
    for (std::uint64_t distance = 1; distance > 0;) {
        // A segment that is not full is the last one.
        if (last->entries.size() < AUDIT_SEGMENT_ENTRIES) {
            break;
        }
        outcome<segment_state> next = readSegment(last->number + distance);
        if (!next && next.reason().code != error_code::not_found) {
            return next;
        }
        isDoubling = isDoubling && next;
        last = next ? std::move(next) : std::move(last);
        distance = isDoubling ? distance * 2 : distance / 2;
    }
    m_lastKnownSegment = last->number;
    return last;
}

template <object_store Store>
void audit_log<Store>::addEntry(segment_state &segment, json entry)
{
    entry["sequence"] = segment.firstSequence() + segment.entries.size();
    entry["previous_hash"] = segment.headHash();
    entry["hash"] = auditEntryHash(entry);
    segment.entries.push_back(std::move(entry));
}

template <object_store Store>
std::size_t audit_log<Store>::countStored(const segment_state &segment, const std::vector<json> &entries)
{
    std::set<std::string> ids;
    for (const json &entry : segment.entries) {
        ids.insert(jsonValue<std::string>(entry, "id", ""));
    }
    std::size_t stored = 0;
    while (stored < entries.size() && ids.count(jsonValue<std::string>(entries[stored], "id", "")) > 0) {
        ++stored;
    }
    return stored;
}

template <object_store Store>
outcome<std::size_t> audit_log<Store>::append(const std::vector<json> &entries)
{
    const std::lock_guard lock(m_mutex);
    failure last{error_code::conflict, "other nodes wrote all the time"};
    for (int attempt = 0; attempt < MAX_AUDIT_ATTEMPTS; ++attempt) {
        const outcome<segment_state> segment = findLast();
        if (!segment) {
            return segment.reason();
        }
        // Whether a write with a lost response took effect is read from a segment that the write can no longer change: a full segment, or the version
        // that the next write replaces.
        const outcome<segment_state> attempted = m_lastWrittenSegment < segment->number ? readSegment(m_lastWrittenSegment) : segment;
        if (!attempted) {
            return attempted.reason();
        }
        if (const std::size_t stored = countStored(*attempted, entries); stored > 0 || entries.empty()) {
            return stored;
        }
        segment_state next = *segment;
        if (next.entries.size() >= AUDIT_SEGMENT_ENTRIES) {
            next = segment_state{segment->number + 1, object_version(), segment->headHash(), json::array()};
        }
        std::size_t count = 0;
        while (count < entries.size() && next.entries.size() < AUDIT_SEGMENT_ENTRIES) {
            addEntry(next, entries[count++]);
        }
        const json document = {{"entries", next.entries}, {"previous_hash", next.previousHash}};
        m_lastWrittenSegment = next.number;
        const auto written = m_store.write(call_purpose::audit, segmentKey(next.number), canonicalJson(document), next.stored);
        if (written) {
            return count;
        }
        last = written.reason();
        if (last.code != error_code::conflict && last.code != error_code::unknown_result) {
            return last;
        }
    }
    return last;
}

template <object_store Store>
outcome<json> audit_log<Store>::readAfter(std::uint64_t sequence)
{
    const auto segment = readSegment(sequence / AUDIT_SEGMENT_ENTRIES + 1);
    if (!segment) {
        return segment.reason().code == error_code::not_found ? outcome<json>(json::array()) : outcome<json>(segment.reason());
    }
    json entries = json::array();
    for (const json &entry : segment->entries) {
        if (jsonValue<std::uint64_t>(entry, "sequence", 0) > sequence) {
            entries.push_back(entry);
        }
    }
    return entries;
}

template <object_store Store>
outcome<json> audit_log<Store>::verify()
{
    std::string head;
    std::string problem;
    std::uint64_t checked = 0;
    for (std::uint64_t number = 1; problem.empty(); ++number) {
        const auto segment = readSegment(number);
        if (!segment && segment.reason().code != error_code::not_found) {
            return segment.reason();
        }
        if (!segment) {
            break;
        }
        problem = checkAuditChain(segment->entries, head);
        if (problem.empty() && checked % AUDIT_SEGMENT_ENTRIES != 0) {
            problem = "segment " + std::to_string(number - 1) + " is cut short";
        }
        if (problem.empty() && !segment->entries.empty() && jsonValue<std::uint64_t>(segment->entries[0], "sequence", 0) != checked + 1) {
            problem = "segment " + std::to_string(number) + " does not start with entry " + std::to_string(checked + 1);
        }
        checked += segment->entries.size();
        head = segment->entries.empty() ? head : jsonValue<std::string>(segment->entries.back(), "hash", "");
    }
    return json{{"entries_checked", checked}, {"head_hash", head}, {"problem", problem}};
}

template <object_store Store>
outcome<json> audit_log<Store>::readLastSegment()
{
    const std::lock_guard lock(m_mutex);
    const auto last = findLast();
    if (!last) {
        return last.reason();
    }
    return json{{"sequence", last->firstSequence() + last->entries.size() - 1},
                {"head_hash", last->headHash()},
                {"previous_hash", last->previousHash},
                {"entries", last->entries}};
}

} // namespace snipefall
