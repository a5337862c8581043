#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/outcome.h"
#include "store/claim_entry.h"
#include "store/object.h"

namespace snipefall {

constexpr std::uint64_t CLAIM_BUCKETS = 64;
/** Requests whose UUIDv7 time is older than this are refused. */
constexpr std::uint64_t CLAIM_RETENTION_MS = 24ULL * 3'600'000;
/** Requests whose UUIDv7 time is further in the future than this are refused. */
constexpr std::uint64_t CLAIM_MAX_FUTURE_MS = 300'000;
/** Entries outlive CLAIM_RETENTION_MS by this margin, so that a node whose clock is behind can't claim an id again after its entry was removed. */
constexpr std::uint64_t CLAIM_RETENTION_MARGIN_MS = 600'000;
/** Bytes that a result hash adds to an entry. Claims reserve them for each entry without a result, so that the hash of its result still fits. */
constexpr std::size_t CLAIM_RESULT_BYTES = 68;
/** Stays below the platform's limit of 1 MB per value. */
constexpr std::size_t MAX_CLAIM_BUCKET_BYTES = 900'000;

/** The claims in one object claims/<service>/<bucket>. */
struct claim_bucket
{
    object_version version;
    std::map<request_id, claim_entry> entries; ///< Ordered by the UUIDv7 time of the request ids.

    /** Fails with internal if the value is not a valid bucket; the caller must not overwrite such an object. */
    static outcome<claim_bucket> parse(const object &stored);
    static std::string keyOf(const service_id &service, std::uint64_t bucket);
    static std::uint64_t indexOf(const request_id &id);

    std::string text() const;
    /** The number of entries without a result. */
    std::size_t entriesWithoutResult() const;
    void removeExpired(std::uint64_t nowMs);
    /** Serializes the bucket into at most @p maxBytes, removing the oldest result bodies as needed; nullopt if it is too large without any bodies. */
    std::optional<std::string> textWithin(std::size_t maxBytes);
};

/** Returns @p body if an entry can store it, that is, if it has at most MAX_RESULT_BODY_BYTES and is valid UTF-8. */
std::optional<std::string> storableResultBody(const std::string &body);

} // namespace snipefall
