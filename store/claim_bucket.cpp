#include "store/claim_bucket.h"

#include <algorithm>

#include "core/crypto.h"
#include "core/json.h"
#include "policy/uuid_v7.h"

namespace snipefall {

namespace {

// Indexes into the JSON array that stores an entry; an array takes less space than an object with keys.
enum entry_field : std::size_t
{
    node,
    started,
    nonce,
    token,
    state,
    hash,
    body,
};

json toJson(const claim_entry &entry)
{
    json value = {entry.node.str(), entry.started.value(), entry.nonce, entry.token.value(), std::string(toString(entry.state))};
    if (!entry.resultHash.empty()) {
        value.push_back(entry.resultHash);
    }
    if (entry.resultBody) {
        value.push_back(*entry.resultBody);
    }
    return value;
}

std::optional<claim_entry> parseEntry(const json &value)
{
    if (!value.is_array() || value.size() <= entry_field::state || !value[entry_field::node].is_string() || !value[entry_field::started].is_number_unsigned()
        || !value[entry_field::nonce].is_string() || !value[entry_field::token].is_number_unsigned() || !value[entry_field::state].is_string()) {
        return std::nullopt;
    }
    const auto state = parseClaimState(value[entry_field::state].get_ref<const std::string &>());
    const bool hasHash = value.size() > entry_field::hash;
    const bool hasBody = value.size() > entry_field::body;
    if (!state || (hasHash && !value[entry_field::hash].is_string()) || (hasBody && !value[entry_field::body].is_string())) {
        return std::nullopt;
    }
    claim_entry entry{node_id(value[entry_field::node].get<std::string>()),
                      incarnation(value[entry_field::started].get<std::uint64_t>()),
                      value[entry_field::nonce].get<std::string>(),
                      object_version(value[entry_field::token].get<std::uint64_t>()),
                      *state,
                      hasHash ? value[entry_field::hash].get<std::string>() : std::string(),
                      std::nullopt};
    if (hasBody) {
        entry.resultBody = value[entry_field::body].get<std::string>();
    }
    return entry;
}

} // namespace

outcome<claim_bucket> claim_bucket::parse(const object &stored)
{
    const failure corrupt{error_code::internal, "the object " + stored.key + " is corrupt"};
    const auto value = parseJson(stored.value);
    if (!value || !value->is_object()) {
        return corrupt;
    }
    claim_bucket bucket;
    bucket.version = stored.version;
    for (const auto &[id, member] : value->items()) {
        auto entry = parseEntry(member);
        if (!entry) {
            return corrupt;
        }
        bucket.entries.emplace_hint(bucket.entries.end(), request_id(id), std::move(*entry));
    }
    return bucket;
}

std::string claim_bucket::keyOf(const service_id &service, std::uint64_t bucket)
{
    return "claims/" + service.str() + "/" + std::to_string(bucket);
}

std::uint64_t claim_bucket::indexOf(const request_id &id)
{
    return stableHash(id.str()) % CLAIM_BUCKETS;
}

std::string claim_bucket::text() const
{
    json value = json::object();
    for (const auto &[id, entry] : entries) {
        value[id.str()] = toJson(entry);
    }
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::size_t claim_bucket::entriesWithoutResult() const
{
    return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), [](const auto &entry) { return entry.second.resultHash.empty(); }));
}

void claim_bucket::removeExpired(std::uint64_t nowMs)
{
    const auto expired = [&](const auto &entry) {
        const auto id = uuid_v7::parse(entry.first.str());
        return id && id->checkAge(nowMs, CLAIM_RETENTION_MS + CLAIM_RETENTION_MARGIN_MS, 0) == uuid_v7::age::too_old;
    };
    // UUIDv7 ids sort by time, so the expired entries come first.
    while (!entries.empty() && expired(*entries.begin())) {
        entries.erase(entries.begin());
    }
}

std::optional<std::string> claim_bucket::textWithin(std::size_t maxBytes)
{
    std::string serialized = text();
    if (serialized.size() <= maxBytes) {
        return serialized;
    }
    std::size_t excess = serialized.size() - maxBytes;
    for (auto &[id, entry] : entries) {
        if (excess == 0) {
            break;
        }
        if (entry.resultBody) {
            excess -= std::min(excess, entry.resultBody->size());
            entry.resultBody.reset();
        }
    }
    serialized = text();
    return serialized.size() <= maxBytes ? std::optional(std::move(serialized)) : std::nullopt;
}

std::optional<std::string> storableResultBody(const std::string &body)
{
    if (body.size() > MAX_RESULT_BODY_BYTES) {
        return std::nullopt;
    }
    const auto roundTripped = parseJson(json(body).dump(-1, ' ', false, json::error_handler_t::replace));
    return roundTripped && *roundTripped == json(body) ? std::optional(body) : std::nullopt;
}

} // namespace snipefall
