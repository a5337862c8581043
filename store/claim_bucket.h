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
/** Request ids older than this are refused. */
constexpr std::uint64_t CLAIM_RETENTION_MS = 24ULL * 3'600'000;
/** Request ids further ahead than this are refused. */
constexpr std::uint64_t CLAIM_MAX_AHEAD_MS = 300'000;
/** Entries are kept this much longer than ids are accepted, so that a node whose clock is behind can't claim a dropped id again. */
constexpr std::uint64_t CLAIM_CLOCK_MARGIN_MS = 600'000;
/** A result adds its hash to an entry; claims leave room for it. */
constexpr std::size_t CLAIM_RESULT_BYTES = 68;
/** The platform takes values up to 1 MB. */
constexpr std::size_t MAX_CLAIM_BUCKET_BYTES = 900'000;

/** The claims in one object claims/<service>/<bucket>. */
struct claim_bucket
{
    object_version version;
    std::map<request_id, claim_entry> entries; ///< In the order of the time in the ids.

    /** A value that is not a bucket gives internal; it must not be overwritten. */
    static outcome<claim_bucket> parse(const object &stored);
    static std::string keyOf(const service_id &service, std::uint64_t bucket);
    static std::uint64_t indexOf(const request_id &id);

    std::string text() const;
    /** Entries that may still get a result. */
    std::size_t unfinished() const;
    void dropExpired(std::uint64_t nowMs);
    /** The text when it fits into @p maxBytes, dropping the oldest result bodies as needed; nothing when it does not fit without any. */
    std::optional<std::string> fittedText(std::size_t maxBytes);
};

/** The body when an entry may keep it: small enough and valid UTF-8. */
std::optional<std::string> storableResultBody(const std::string &body);

} // namespace snipefall
