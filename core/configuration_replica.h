#pragma once

#include <deque>
#include <memory>
#include <mutex>
#include <span>
#include <vector>

#include "core/configuration.h"
#include "core/configuration_delta.h"
#include "core/configuration_offer_result.h"
#include "core/configuration_position.h"

namespace snipefall {

/** Number of patches that a replica retains for lagging peers: about 2.8 hours of history at 2,200 changes a day. */
constexpr std::size_t MAX_RETAINED_PATCHES = 256;

/**
 * A node's replica of the versioned configuration. Its version never decreases.
 *
 * Thread-safe. Callers of current() never block on a patch that is being applied.
 */
class configuration_replica
{
public:
    configuration_replica();

    /** Applies the patches that follow the replica's version without a gap. The patches may be unordered and repeated. */
    configuration_offer_result offer(std::span<const configuration_patch> patches);
    /** Replaces the replica's state by the snapshot if the snapshot is newer. */
    configuration_offer_result offerSnapshot(const configuration_snapshot &snapshot);
    /** Offers the snapshot first, if there is one, then the patches. */
    configuration_offer_result offerDelta(const configuration_delta &delta);

    /** The patches or the snapshot that a peer at @p version lacks; empty if the peer is up to date. */
    configuration_delta patchesAfter(config_version version) const;
    configuration_position position() const;
    configuration_snapshot snapshot() const;
    /** The newest valid configuration; never null. */
    std::shared_ptr<const configuration> current() const;

private:
    void applyPatch(const configuration_patch &patch);
    bool conflictsWithRetained(const configuration_patch &patch) const;
    /** Parses the document if its version changed and publishes it to current() if it is valid. Completes and returns @p result. */
    configuration_offer_result publishConfiguration(configuration_offer_result result);

    mutable std::mutex m_mutex; ///< Guards m_snapshot and m_retainedPatches; locked before m_currentMutex.
    configuration_snapshot m_snapshot;
    std::deque<configuration_patch> m_retainedPatches; ///< The most recent patches without a gap; the last one created m_snapshot.version.

    mutable std::mutex m_currentMutex; ///< Guards the pointer m_current only.
    std::shared_ptr<const configuration> m_current;
};

} // namespace snipefall
