#include "policy/permit_record.h"

#include <limits>
#include <set>

#include "core/invariant.h"
#include "core/json.h"

namespace snipefall {

namespace {

std::optional<std::uint32_t> parseAmount(const json &entry, const char *key)
{
    const auto value = jsonValue<std::uint64_t>(entry, key, std::numeric_limits<std::uint64_t>::max());
    if (value > std::numeric_limits<std::uint32_t>::max()) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(value);
}

std::optional<permit_entry> parseEntry(const json &document)
{
    const node_id node(jsonValue<std::string>(document, "node", ""));
    const incarnation started(jsonValue<std::uint64_t>(document, "incarnation", 0));
    const auto slots = parseAmount(document, "slots");
    const auto connections = parseAmount(document, "connections");
    if (node.empty() || started.value() == 0 || !slots || !connections) {
        return std::nullopt;
    }
    return permit_entry{node, started, {*slots, *connections}};
}

} // namespace

permit_record::permit_record(std::uint64_t epoch, std::vector<permit_entry> ring)
    : m_epoch(epoch)
    , m_ring(std::move(ring))
{
}

permit_share permit_record::total() const
{
    permit_share sum;
    for (const auto &entry : m_ring) {
        sum = sum + entry.share;
    }
    return sum;
}

std::optional<std::size_t> permit_record::indexOf(const node_id &node) const
{
    for (std::size_t i = 0; i < m_ring.size(); ++i) {
        if (m_ring[i].node == node) {
            return i;
        }
    }
    return std::nullopt;
}

const permit_entry *permit_record::find(const node_id &node) const
{
    const auto index = indexOf(node);
    return index ? &m_ring[*index] : nullptr;
}

const permit_entry *permit_record::successorOf(const node_id &node) const
{
    const auto index = indexOf(node);
    return index && m_ring.size() > 1 ? &m_ring[(*index + 1) % m_ring.size()] : nullptr;
}

const permit_entry *permit_record::predecessorOf(const node_id &node) const
{
    const auto index = indexOf(node);
    return index && m_ring.size() > 1 ? &m_ring[(*index + m_ring.size() - 1) % m_ring.size()] : nullptr;
}

permit_record permit_record::withNextEpoch() const
{
    return {m_epoch + 1, m_ring};
}

permit_record permit_record::withTakeover(const node_id &node) const
{
    const auto *predecessor = predecessorOf(node);
    SNIPEFALL_INVARIANT(predecessor, "takeover requires a predecessor in the ring");
    auto next = withHandOver(predecessor->node, node, predecessor->share);
    std::erase_if(next.m_ring, [predecessor](const permit_entry &entry) { return entry.node == predecessor->node; });
    return next;
}

permit_record permit_record::without(const node_id &node) const
{
    auto next = withNextEpoch();
    std::erase_if(next.m_ring, [&node](const permit_entry &entry) { return entry.node == node; });
    return next;
}

permit_record permit_record::withIncarnation(const node_id &node, incarnation started) const
{
    const auto index = indexOf(node);
    SNIPEFALL_INVARIANT(index, "the node must be in the ring");
    auto next = withNextEpoch();
    next.m_ring[*index].started = started;
    return next;
}

permit_record permit_record::withStandby(const node_id &holder, const permit_entry &standby) const
{
    const auto index = indexOf(holder);
    SNIPEFALL_INVARIANT(index && !indexOf(standby.node), "a standby must not be in the ring yet and its holder must be");
    auto next = withNextEpoch();
    next.m_ring.insert(next.m_ring.begin() + static_cast<std::ptrdiff_t>(*index) + 1, {standby.node, standby.started, {}});
    return next;
}

permit_record permit_record::withHandOver(const node_id &from, const node_id &to, const permit_share &amount) const
{
    const auto source = indexOf(from);
    const auto target = indexOf(to);
    SNIPEFALL_INVARIANT(source && target && m_ring[*source].share.covers(amount), "hand-over exceeds the share of its holder");
    auto next = withNextEpoch();
    next.m_ring[*source].share = next.m_ring[*source].share - amount;
    next.m_ring[*target].share = next.m_ring[*target].share + amount;
    return next;
}

permit_record permit_record::withShare(const node_id &node, const permit_share &share) const
{
    const auto index = indexOf(node);
    SNIPEFALL_INVARIANT(index, "the node must be in the ring");
    auto next = withNextEpoch();
    next.m_ring[*index].share = share;
    return next;
}

std::string permit_record::toJson() const
{
    json ring = json::array();
    for (const auto &entry : m_ring) {
        ring.push_back(
            {{"node", entry.node.str()}, {"incarnation", entry.started.value()}, {"slots", entry.share.slots}, {"connections", entry.share.connections}});
    }
    return json{{"epoch", m_epoch}, {"ring", ring}}.dump();
}

outcome<permit_record> permit_record::fromJson(std::string_view text)
{
    const auto document = parseJson(text);
    if (!document) {
        return document.reason();
    }
    const auto epoch = jsonValue<std::uint64_t>(*document, "epoch", 0);
    if (epoch == 0 || !document->contains("ring") || !(*document)["ring"].is_array() || (*document)["ring"].empty()) {
        return failure{error_code::invalid_argument, "permit record requires an epoch above 0 and a non-empty ring"};
    }
    std::vector<permit_entry> ring;
    std::set<node_id> seen;
    for (const auto &item : (*document)["ring"]) {
        auto entry = parseEntry(item);
        if (!entry || !seen.insert(entry->node).second) {
            return failure{error_code::invalid_argument, "malformed or duplicate entry in the ring of a permit record: " + item.dump()};
        }
        ring.push_back(std::move(*entry));
    }
    return permit_record(epoch, std::move(ring));
}

} // namespace snipefall
