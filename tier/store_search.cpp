#include "tier/store_search.h"

#include <algorithm>
#include <utility>

#include "tier/object_follower.h"

namespace snipefall {

bool store_search::mayTryAgain(object_follower &follower)
{
    if (!m_retrying || m_retrying == &follower) {
        m_retrying = &follower;
        std::erase(m_waiting, &follower);
        return true;
    }
    if (std::find(m_waiting.begin(), m_waiting.end(), &follower) == m_waiting.end()) {
        m_waiting.push_back(&follower);
    }
    return false;
}

void store_search::found(object_follower &follower)
{
    std::erase(m_waiting, &follower);
    if (m_retrying != &follower) {
        return;
    }
    m_retrying = nullptr;
    for (object_follower *waiting : std::exchange(m_waiting, {})) {
        waiting->refresh();
    }
}

} // namespace snipefall
