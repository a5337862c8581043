#include "node/configuration_controller.h"

#include "core/logger.h"

namespace snipefall {

configuration_controller::configuration_controller(configuration_replica &replica, log_reader log)
    : m_replica(replica)
    , m_log(std::move(log))
{
}

void configuration_controller::step()
{
    const config_version before = m_replica.position().version;
    if (!m_ready) {
        const outcome<configuration_snapshot> loaded = m_log.load();
        if (!loaded) {
            logWarning("configuration.load_failed", {{"reason", loaded.reason().message}});
            return;
        }
        m_replica.offerSnapshot(*loaded);
    } else {
        const outcome<std::vector<configuration_patch>> patches = m_log.readAfter(before);
        if (!patches) {
            logWarning("configuration.read_failed", {{"reason", patches.reason().message}});
            return;
        }
        m_replica.offer(*patches);
    }
    finishUpdate(before);
}

void configuration_controller::offer(std::span<const configuration_patch> patches)
{
    const config_version before = m_replica.position().version;
    m_replica.offer(patches);
    finishUpdate(before);
}

void configuration_controller::offerDelta(const configuration_delta &delta)
{
    const config_version before = m_replica.position().version;
    m_replica.offerDelta(delta);
    finishUpdate(before);
}

void configuration_controller::finishUpdate(config_version before)
{
    m_ready = true;
    const config_version now = m_replica.position().version;
    if (now == before) {
        return;
    }
    logInfo("configuration.in_force", {{"version", std::to_string(now.value())}, {"before", std::to_string(before.value())}});
    if (m_onChange) {
        m_onChange(now);
    }
}

} // namespace snipefall
