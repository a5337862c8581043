#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

#include "core/ids.h"
#include "policy/organisations/usage_message.h"

namespace snipefall {

/**
 * The usage counts of the last windows: those of this node, and what peers have reported of theirs.
 *
 * Peers report all counts of a window again and again, so that a lost datagram or a new recipient costs nothing; each report replaces the earlier ones.
 */
class usage_ledger
{
public:
    /** Windows that are kept, the current one included. */
    static constexpr std::size_t RETAINED_WINDOWS = 16;

    /** Counts a request of this node that was sent to a server in the window. */
    void add(usage_window window, const organisation_id &organisation) { ++m_own[window][organisation]; }
    /** Takes back a request that no server has run. */
    void takeBack(usage_window window, const organisation_id &organisation);
    /** Applies a report of a peer; counts that a later report has replaced are ignored. */
    void apply(const node_id &sender, const usage_message &message);
    /** Forgets the windows that are too old, as of the current window. */
    void discardOld(usage_window current);

    const std::map<usage_window, usage_counts> &own() const { return m_own; }
    /** The counts of all nodes in a window, as far as they are known. */
    usage_counts total(usage_window window) const;

private:
    struct reported_count
    {
        std::uint64_t sequence = 0;
        std::uint64_t count = 0;
    };
    using run_of_node = std::pair<node_id, incarnation>;

    std::map<usage_window, usage_counts> m_own;
    std::map<usage_window, std::map<run_of_node, std::map<organisation_id, reported_count>>> m_reported;
    usage_window m_oldest; ///< Reports of earlier windows are ignored.
};

} // namespace snipefall
