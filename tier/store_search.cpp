#include "tier/store_search.h"

#include <algorithm>
#include <utility>

#include "tier/object_follower.h"

namespace snipefall {

bool store_search::mayTryAgain(object_follower &watcher)
{
    if (!m_retrying || m_retrying == &watcher) {
        m_retrying = &watcher;
        std::erase(m_waiting, &watcher);
        return true;
    }
    if (std::find(m_waiting.begin(), m_waiting.end(), &watcher) == m_waiting.end()) {
        m_waiting.push_back(&watcher);
    }
    return false;
}

void store_search::found(object_follower &watcher)
{
    std::erase(m_waiting, &watcher);
    if (m_retrying != &watcher) {
        return;
    }
    m_retrying = nullptr;
    for (object_follower *waiting : std::exchange(m_waiting, {})) {
        waiting->refresh();
    }
}

} // namespace snipefall
