#pragma once

#include <atomic>
#include <functional>
#include <span>
#include <vector>

#include "core/configuration_patch.h"
#include "core/configuration_replica.h"
#include "core/configuration_snapshot.h"
#include "core/outcome.h"

namespace snipefall {

/** Keeps the replica at the newest configuration that the platform or a peer knows. */
class configuration_controller
{
public:
    /** What the controller reads from the platform's log. */
    struct log_reader
    {
        std::function<outcome<configuration_snapshot>()> load;
        std::function<outcome<std::vector<configuration_patch>>(config_version)> readAfter;
    };
    /** Told of each version that came into force on this node. */
    using change_callback = std::function<void(config_version)>;

    configuration_controller(configuration_replica &replica, log_reader log);

    void onChange(change_callback callback) { m_onChange = std::move(callback); }

    /** Reads what is new in the platform's log. */
    void step();
    /** Takes patches over that a peer sent or this node committed. */
    void offer(std::span<const configuration_patch> patches);
    void offerDelta(const configuration_delta &delta);

    /** Whether a configuration was ever read, from the platform or a peer. */
    bool ready() const { return m_ready; }

private:
    void finishOffer(config_version before);

    configuration_replica &m_replica;
    log_reader m_log;
    change_callback m_onChange;
    std::atomic<bool> m_ready{false};
};

} // namespace snipefall
