#pragma once

#include <cstddef>
#include <vector>

namespace snipefall {

class object_follower;

/**
 * While the platform's store is away, lets one of several followers look for it; the others wait until that one has an answer.
 *
 * Each call to the store is paid for, also one that is refused, and all followers would learn the same.
 */
class store_search
{
public:
    /** A call of @p follower failed. Returns true if it is the one that tries again. */
    bool mayTryAgain(object_follower &follower);
    /** The store answered @p follower. If it was the one that looked for the store, the others read everything anew. */
    void found(object_follower &follower);
    std::size_t waiting() const { return m_waiting.size(); }

private:
    object_follower *m_searching = nullptr;
    std::vector<object_follower *> m_waiting;
};

} // namespace snipefall
