#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/json.h"
#include "policy/account_key.h"
#include "policy/answer_totals.h"

namespace snipefall {

/**
 * What one incarnation of a node answered, as cumulative totals.
 *
 * The totals only grow and have one writer, so of two copies the one with the higher sequence holds the other: saving it again after a lost
 * response of the platform never counts an answer twice.
 */
class node_account
{
public:
    node_account() = default;
    node_account(node_id node, incarnation nodeIncarnation, std::uint64_t startedMs);

    void add(const answer_record &record);

    /** Marks the time up to which all answers are included, and raises the sequence. */
    void seal(std::uint64_t savedToMs);
    /** Marks the account as final: the node stopped and answered nothing after it. */
    void close() { m_closed = true; }
    /** Marks that this node gives the service no more answers but refusals, by configuration @p version; any other answer takes it back. */
    void closeService(const service_id &service, config_version version) { m_closedServices.insert_or_assign(service, version); }

    const node_id &node() const { return m_node; }
    incarnation nodeIncarnation() const { return m_incarnation; }
    std::uint64_t startedMs() const { return m_startedMs; }
    std::uint64_t savedToMs() const { return m_savedToMs; }
    std::uint64_t sequence() const { return m_sequence; }
    bool closed() const { return m_closed; }
    /** Whether the account is final for @p service, closed by a configuration that is not older than @p atLeast. */
    bool serviceClosed(const service_id &service, config_version atLeast = config_version()) const;
    const std::map<account_key, answer_totals> &totals() const { return m_totals; }
    const std::vector<std::pair<service_id, request_id>> &unknownRequests() const { return m_unknownRequests; }
    std::uint64_t unlistedUnknownRequests() const { return m_unlistedUnknownRequests; }

    /** Only the part about @p service, for a report. */
    node_account forService(const service_id &service) const;

    json toJson() const;
    static outcome<node_account> fromJson(const json &document);

    bool operator==(const node_account &) const = default;

private:
    node_id m_node;
    incarnation m_incarnation;
    std::uint64_t m_startedMs = 0;
    std::uint64_t m_savedToMs = 0;
    std::uint64_t m_sequence = 0;
    bool m_closed = false;
    std::map<service_id, config_version> m_closedServices;
    std::map<account_key, answer_totals> m_totals;
    std::vector<std::pair<service_id, request_id>> m_unknownRequests;
    std::uint64_t m_unlistedUnknownRequests = 0;
};

} // namespace snipefall
