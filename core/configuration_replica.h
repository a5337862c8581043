#pragma once

#include <deque>
#include <memory>
#include <mutex>
#include <span>
#include <vector>

#include "core/configuration.h"
#include "core/configuration_delta.h"
#include "core/configuration_offer.h"
#include "core/configuration_position.h"

namespace snipefall {

/** Patches that a replica keeps for peers that are behind; at 2,200 changes a day about 2.8 hours. */
constexpr std::size_t REPLICA_PATCHES = 256;

/**
 * A node's copy of the numbered configuration. Its version never falls.
 *
 * Thread-safe. Readers of current() never wait for a patch that is being applied.
 */
class configuration_replica
{
public:
    configuration_replica();

    /** Applies the contiguous next patches of an offer in any order, with repeats. */
    configuration_offer offer(std::span<const configuration_patch> patches);
    /** Takes the snapshot when it is newer. */
    configuration_offer offerSnapshot(const configuration_snapshot &snapshot);
    /** Takes the snapshot first, then the patches. */
    configuration_offer offerDelta(const configuration_delta &delta);

    /** What a peer at @p version lacks; empty when it is not behind. */
    configuration_delta patchesAfter(config_version version) const;
    configuration_position position() const;
    configuration_snapshot snapshot() const;
    /** The configuration in force; never null. */
    std::shared_ptr<const configuration> current() const;

private:
    void applyNext(const configuration_patch &patch);
    bool conflictsWithKept(const configuration_patch &patch) const;
    /** Parses the document when it changed, and puts it in force if it is valid. */
    configuration_offer finishOffer(configuration_offer result);

    mutable std::mutex m_mutex; ///< Guards the document and the patches; taken before m_currentMutex.
    configuration_snapshot m_state;
    std::deque<configuration_patch> m_patches; ///< The last contiguous ones; the newest makes m_state.version.

    mutable std::mutex m_currentMutex; ///< Guards the pointer only.
    std::shared_ptr<const configuration> m_current;
};

} // namespace snipefall
