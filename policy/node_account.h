#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/json.h"
#include "policy/answer_totals.h"
#include "policy/answer_totals_key.h"

namespace snipefall {

/**
 * Cumulative totals of the answers that one incarnation of a node gave to callers.
 *
 * The totals only grow and have a single writer, so of two copies the one with the higher sequence number includes the other. Saving an account again after
 * the platform's response was lost therefore never counts an answer twice.
 */
class node_account
{
public:
    node_account() = default;
    node_account(node_id node, incarnation nodeIncarnation, std::uint64_t startedMs);

    /** Counts one answer. */
    void add(const answer_record &record);

    /** Prepares a save: sets the time up to which all answers are included, and increments the sequence number. */
    void prepareSave(std::uint64_t savedToMs);
    /** Marks the account as final: the node has stopped and gives no more answers. */
    void close() { m_closed = true; }
    /**
     * Marks the account as final for @p service: by configuration @p version, this node only refuses its requests. Any later answer other than a refusal
     * removes the mark.
     */
    void closeService(const service_id &service, config_version version) { m_closedServices.insert_or_assign(service, version); }

    const node_id &node() const { return m_node; }
    incarnation nodeIncarnation() const { return m_incarnation; }
    std::uint64_t startedMs() const { return m_startedMs; }
    std::uint64_t savedToMs() const { return m_savedToMs; }
    std::uint64_t sequence() const { return m_sequence; }
    bool closed() const { return m_closed; }
    /** Whether the account is final for @p service: the node has stopped, or a configuration of version @p minVersion or later closed the service. */
    bool serviceClosed(const service_id &service, config_version minVersion = config_version()) const;
    const std::map<answer_totals_key, answer_totals> &totals() const { return m_totals; }
    /** Requests with outcome unknown. */
    const std::vector<std::pair<service_id, request_id>> &unknownRequests() const { return m_unknownRequests; }
    /** Number of requests of unknown result that unknownRequests() doesn't list, because its size is limited. */
    std::uint64_t unlistedUnknownRequests() const { return m_unlistedUnknownRequests; }

    /** A copy that holds only the data of @p service, for its report. */
    node_account forService(const service_id &service) const;

    json toJson() const;
    /** Decodes an account; invalid_argument when it is malformed. */
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
    std::map<answer_totals_key, answer_totals> m_totals;
    std::vector<std::pair<service_id, request_id>> m_unknownRequests;
    std::uint64_t m_unlistedUnknownRequests = 0;
};

} // namespace snipefall
