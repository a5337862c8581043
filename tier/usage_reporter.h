#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "platform/store_client.h"
#include "platform/usage_duty_settings.h"
#include "policy/leases/duty_lease.h"
#include "policy/organisations/jump_filter.h"
#include "policy/organisations/usage_ledger.h"

namespace snipefall {

class async_http_client;
struct client_result;

/**
 * Reports to the platform how many requests of each organisation began to run in each window.
 *
 * All nodes count, and send their counts to the first nodes by id. One of these holds the lease of the report in the platform's store: it decides the counts of
 * a window some time after its end, writes them there, and sends what was written. A successor sends the same counts again.
 */
class usage_reporter
{
public:
    /** Functions through which the reporter exchanges messages with the other nodes. */
    struct peer_access
    {
        std::function<void(const std::string &)> sendCounts; ///< Sends a usage_message to the other nodes among the candidates.
        std::function<void(const std::string &)> sendLease; ///< Tells the other candidates that this node wrote the record, or gave it up.
        std::function<std::size_t()> rank; ///< The number of live nodes whose ids sort before this node's.
        std::function<bool(const node_id &)> hasLeft; ///< True only if the node was found dead or has left; one that was never seen may be cut off from here.
    };

    usage_reporter(store_client &store, async_http_client &client, node_id self, incarnation run, const usage_duty_settings &settings);

    void setPeers(peer_access peers) { m_peers = std::move(peers); }
    bool isWanted() const { return m_settings.isWanted(); }

    /** Counts a request that is sent to a server now; returns its window, nothing if it isn't counted. */
    std::optional<usage_window> began(const organisation_id &organisation);
    /** Takes back a request that no server has run. */
    void notRun(usage_window window, const organisation_id &organisation) { m_ledger.takeBack(window, organisation); }
    void applyCounts(const node_id &sender, const std::string &payload);
    void applyLease(const std::string &payload);
    /** Notes that the store came back from an older copy: reports that it lacks may have been sent. */
    void noteStoreRestored();
    /** Does what is due; to be called a few times a second. */
    void runDue();
    /** Sends the last counts and gives up the lease; called when a graceful shutdown begins. */
    void stop();

    bool isHolder() const { return m_lease.isHolder(); }
    std::uint64_t reportsSent() const { return m_reportsSent; }

private:
    struct sent_counts
    {
        duration at{};
        usage_counts counts;
    };

    usage_window windowNow();
    /** The newest window whose counts have settled. */
    usage_window newestSettled();
    void sendOwnCounts(bool all);
    /** The windows that are over for long enough and whose counts were not decided yet, with their counts. */
    std::map<usage_window, usage_counts> undecided();
    usage_counts countsOf(usage_window window);
    void runAsHolder();
    void read();
    void write(usage_record record, std::string_view purpose);
    void sendReport(usage_window window, const usage_counts &counts);
    void handleReportEnd(usage_window window, const client_result &result);

    store_client &m_store;
    async_http_client &m_client;
    node_id m_self;
    incarnation m_run;
    usage_duty_settings m_settings;
    peer_access m_peers;
    duty_lease m_lease;
    usage_ledger m_ledger;
    jump_filter m_clock;
    std::map<usage_window, usage_counts> m_decided; ///< The counts that this node has written, for a store that loses them.
    std::map<usage_window, sent_counts> m_sentCounts; ///< By window, what this node last sent of its own counts.
    usage_window m_firstWindow; ///< The window in which this run of the node began.
    usage_window m_maybeSent; ///< Up to this window another node may have sent reports that the restored store has lost.
    std::optional<usage_window> m_lastSent; ///< The newest window whose report was accepted.
    std::uint64_t m_sequence = 0;
    std::uint64_t m_reportsSent = 0;
    duration m_startedAt;
    duration m_nextCallAt{}; ///< No call to the store or the platform before this time.
    bool m_busy = false; ///< A call has not ended yet.
    bool m_stopping = false;
};

} // namespace snipefall
