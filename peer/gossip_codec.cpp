#include "peer/gossip_codec.h"

#include "peer/generated/peer_messages_types.h"
#include "peer/thrift_bytes.h"

namespace snipefall {

namespace {

/** Prevents overflow in the conversion to microseconds. The fact table refuses lifetimes above 24 h. */
constexpr std::int64_t MAX_LIFETIME_MS = 1LL << 40;

std::int64_t toWire(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

std::uint64_t fromWire(std::int64_t value)
{
    return static_cast<std::uint64_t>(value);
}

peer_messages::member_record toRecord(const member_update &update)
{
    peer_messages::member_record record;
    record.id = update.subject.id.str();
    record.peerAddress = update.subject.peerAddress;
    record.callerAddress = update.subject.callerAddress;
    record.domain = update.subject.domain.str();
    record.started = toWire(update.subject.started.value());
    record.configVersion = toWire(update.subject.configVersion.value());
    record.state = static_cast<std::int8_t>(update.subject.state);
    record.accuser = update.accuser.str();
    if (update.subject.refutations > 0) {
        record.__set_refutations(toWire(update.subject.refutations));
    }
    return record;
}

std::optional<member_update> fromRecord(const peer_messages::member_record &record)
{
    if (record.state < 0 || record.state > static_cast<std::int8_t>(member_state::left)) {
        return std::nullopt;
    }
    member_update update;
    update.subject.id = node_id(record.id);
    update.subject.peerAddress = record.peerAddress;
    update.subject.callerAddress = record.callerAddress;
    update.subject.domain = failure_domain_id(record.domain);
    update.subject.started = incarnation(fromWire(record.started));
    update.subject.refutations = record.__isset.refutations ? fromWire(record.refutations) : 0;
    update.subject.configVersion = config_version(fromWire(record.configVersion));
    update.subject.state = static_cast<member_state>(record.state);
    update.accuser = node_id(record.accuser);
    const bool valid = isValid(update.subject) && record.accuser.size() <= MAX_MEMBER_ID_BYTES;
    return valid ? std::optional(update) : std::nullopt;
}

peer_messages::fact_record toRecord(const fact &item)
{
    peer_messages::fact_record record;
    record.key = item.key;
    record.kind = static_cast<std::int16_t>(item.kind);
    record.payload = item.payload;
    record.origin = item.origin.str();
    record.originIncarnation = toWire(item.originIncarnation.value());
    record.sequence = toWire(item.sequence);
    record.lifetimeMs = std::chrono::ceil<std::chrono::milliseconds>(item.lifetime).count();
    return record;
}

fact fromRecord(const peer_messages::fact_record &record)
{
    fact item;
    item.key = record.key;
    item.kind = static_cast<fact_kind>(record.kind);
    item.payload = record.payload;
    item.origin = node_id(record.origin);
    item.originIncarnation = incarnation(fromWire(record.originIncarnation));
    item.sequence = fromWire(record.sequence);
    item.lifetime = std::chrono::milliseconds(record.lifetimeMs < 0 || record.lifetimeMs > MAX_LIFETIME_MS ? 0 : record.lifetimeMs);
    return item;
}

std::vector<std::int32_t> toWire(const std::vector<std::uint32_t> &buckets)
{
    return {buckets.begin(), buckets.end()};
}

} // namespace

std::string encodeGossip(const gossip_message &message)
{
    peer_messages::gossip_datagram datagram;
    datagram.type = static_cast<std::int8_t>(message.type);
    datagram.probe = toWire(message.probe);
    datagram.configVersion = toWire(message.configVersion.value());
    datagram.memberDigest = toWire(message.memberDigest);
    datagram.factDigest = toWire(message.factDigest);
    if (!message.target.empty()) {
        datagram.__set_target(message.target.str());
    }
    if (!message.targetAddress.empty()) {
        datagram.__set_targetAddress(message.targetAddress);
    }
    if (!message.memberBuckets.empty()) {
        datagram.__set_memberBuckets(toWire(message.memberBuckets));
    }
    if (!message.factBuckets.empty()) {
        datagram.__set_factBuckets(toWire(message.factBuckets));
    }
    for (const member_update &update : message.updates) {
        datagram.__isset.updates = true;
        datagram.updates.push_back(toRecord(update));
    }
    for (const fact &item : message.facts) {
        datagram.__isset.facts = true;
        datagram.facts.push_back(toRecord(item));
    }
    return toThriftBytes(datagram);
}

std::optional<gossip_message> decodeGossip(std::string_view bytes)
{
    peer_messages::gossip_datagram datagram;
    if (!fromThriftBytes(bytes, datagram) || datagram.type < 0 || datagram.type > static_cast<std::int8_t>(gossip_type::sync)) {
        return std::nullopt;
    }
    gossip_message message;
    message.type = static_cast<gossip_type>(datagram.type);
    message.probe = fromWire(datagram.probe);
    message.target = node_id(datagram.target);
    message.targetAddress = datagram.targetAddress;
    message.configVersion = config_version(fromWire(datagram.configVersion));
    message.memberDigest = fromWire(datagram.memberDigest);
    message.factDigest = fromWire(datagram.factDigest);
    message.memberBuckets.assign(datagram.memberBuckets.begin(), datagram.memberBuckets.end());
    message.factBuckets.assign(datagram.factBuckets.begin(), datagram.factBuckets.end());
    for (const auto &record : datagram.updates) {
        const auto update = fromRecord(record);
        if (!update) {
            return std::nullopt;
        }
        message.updates.push_back(*update);
    }
    for (const auto &record : datagram.facts) {
        message.facts.push_back(fromRecord(record));
    }
    return message;
}

} // namespace snipefall
