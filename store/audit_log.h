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

/** Entries of one object audit/<segment>; with entries of at most a few KB, an object stays under the platform's 1 MB. */
constexpr std::size_t AUDIT_SEGMENT_ENTRIES = 200;
/** Writes of one batch that meet another node's entries or lose their answer, before it is left for the next time. */
constexpr int MAX_AUDIT_ATTEMPTS = 8;

/**
 * The hash-chained audit trail in the platform: objects audit/<segment>, {"entries": [...], "previous_hash"}.
 *
 * Entry number n is in segment (n - 1) / 200 + 1. Nodes append by conditional update; an entry's "id" settles lost answers, so that an entry
 * that is appended again is stored once. Thread-safe.
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
     * @return how many entries from the front are stored, which is less than all when a segment is full; on failure, append the same again
     */
    outcome<std::size_t> append(const std::vector<json> &entries);
    /** At most one segment's entries after number @p sequence; an empty array at the end. */
    outcome<json> readAfter(std::uint64_t sequence);
    /** Reads and checks the whole chain: {"entries_checked", "head_hash", "problem"}; an empty problem when it holds. */
    outcome<json> verify();
    /** The newest segment for a report: {"sequence", "head_hash", "previous_hash", "entries"}. */
    outcome<json> tail();

    static std::string segmentKey(std::uint64_t segment) { return fmt::format("audit/{:010}", segment); }

private:
    struct segment_state
    {
        std::uint64_t number = 1;
        object_version stored;
        std::string previousHash; ///< Of the last entry of the segment before.
        json entries = json::array();

        std::string headHash() const { return entries.empty() ? previousHash : jsonValue<std::string>(entries.back(), "hash", ""); }
        std::uint64_t firstSequence() const { return (number - 1) * AUDIT_SEGMENT_ENTRIES + 1; }
    };

    outcome<segment_state> readSegment(std::uint64_t number);
    /** The last segment, found from the last one that this log knows. */
    outcome<segment_state> findLast();
    static void addEntry(segment_state &segment, json entry);
    /** How many entries from the front the segment holds. */
    static std::size_t countStored(const segment_state &segment, const std::vector<json> &entries);

    Store &m_store;
    std::mutex m_mutex;
    std::uint64_t m_known = 1; ///< A segment that existed, or the first one.
    std::uint64_t m_attempted = 1; ///< The segment of the last write, whose answer may have been lost.
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
    // Segments are contiguous: the distance doubles until a segment is absent, and then halves.
    outcome<segment_state> last = readSegment(m_known);
    if (!last) {
        return m_known == 1 && last.reason().code == error_code::not_found ? outcome<segment_state>(segment_state()) : last;
    }
    bool grows = true;
    for (std::uint64_t distance = 1; distance > 0;) {
        // A segment that has room is the last one, and needs no further reading.
        if (last->entries.size() < AUDIT_SEGMENT_ENTRIES) {
            break;
        }
        outcome<segment_state> next = readSegment(last->number + distance);
        if (!next && next.reason().code != error_code::not_found) {
            return next;
        }
        grows = grows && next;
        last = next ? std::move(next) : std::move(last);
        distance = grows ? distance * 2 : distance / 2;
    }
    m_known = last->number;
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
        // A write whose answer was lost is settled by a segment that it can no longer change: a full one, or the version this write replaces.
        const outcome<segment_state> attempted = m_attempted < segment->number ? readSegment(m_attempted) : segment;
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
        m_attempted = next.number;
        const auto written = m_store.write(call_purpose::audit, segmentKey(next.number), canonicalText(document), next.stored);
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
outcome<json> audit_log<Store>::tail()
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
