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

/** Updates the replica to the newest configuration that the platform or a peer has. */
class configuration_controller
{
public:
    /** Functions that read the platform's configuration log. */
    struct log_reader
    {
        std::function<outcome<configuration_snapshot>()> load;
        std::function<outcome<std::vector<configuration_patch>>(config_version)> readAfter;
    };
    /** Called with each version that takes effect on this node. */
    using change_callback = std::function<void(config_version)>;

    configuration_controller(configuration_replica &replica, log_reader log);

    void onChange(change_callback callback) { m_onChange = std::move(callback); }

    /** Loads the configuration on the first call; later calls read the new patches from the platform's log. */
    void step();
    /** Applies patches that a peer sent or this node committed. */
    void offer(std::span<const configuration_patch> patches);
    /** Applies a delta that a peer sent in response to a pull. */
    void offerDelta(const configuration_delta &delta);

    /** Whether a configuration was received at least once, from the platform or a peer. */
    bool ready() const { return m_ready; }

private:
    void finishUpdate(config_version before);

    configuration_replica &m_replica;
    log_reader m_log;
    change_callback m_onChange;
    std::atomic<bool> m_ready{false};
};

} // namespace snipefall
