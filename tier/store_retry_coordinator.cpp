#include "tier/store_retry_coordinator.h"

#include <algorithm>
#include <utility>

#include "tier/object_watcher.h"

namespace snipefall {

bool store_retry_coordinator::mayRetry(object_watcher &watcher, duration pause)
{
    if (!m_retrying) {
        m_retrying = &watcher;
        std::erase(m_waiting, &watcher);
        return true;
    }
    if (m_retrying == &watcher) {
        if (m_waiting.empty()) {
            return true;
        }
        m_retrying = m_waiting.front();
        m_waiting.erase(m_waiting.begin());
        m_retrying->takeOverRetry(pause);
    }
    if (std::find(m_waiting.begin(), m_waiting.end(), &watcher) == m_waiting.end()) {
        m_waiting.push_back(&watcher);
    }
    return false;
}

void store_retry_coordinator::noteStoreAnswered(object_watcher &watcher)
{
    std::erase(m_waiting, &watcher);
    if (m_retrying != &watcher) {
        return;
    }
    m_retrying = nullptr;
    for (object_watcher *waiting : std::exchange(m_waiting, {})) {
        waiting->refresh();
    }
}

} // namespace snipefall
