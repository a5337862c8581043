#pragma once

#include <cstddef>
#include <vector>

#include "core/clock.h"

namespace snipefall {

class object_watcher;

/**
 * While the platform's store is unreachable, lets only one of several object_watcher instances retry; the others wait until it gets an answer.
 *
 * Each call to the store is charged, even a refused one, and the calls of the other watchers would tell nothing new. They take turns, because calls for one
 * kind of objects may go on failing while those for the others succeed.
 */
class store_retry_coordinator
{
public:
    /** Notes that a call of @p watcher failed. Returns true if this watcher is the one that retries; another one that takes its turn does so after @p pause. */
    bool mayRetry(object_watcher &watcher, duration pause);
    /** Notes that the store answered @p watcher. If it was the one that retried, all waiting watchers list their objects again. */
    void noteStoreAnswered(object_watcher &watcher);
    std::size_t waiting() const { return m_waiting.size(); }

private:
    object_watcher *m_retrying = nullptr;
    std::vector<object_watcher *> m_waiting;
};

} // namespace snipefall
