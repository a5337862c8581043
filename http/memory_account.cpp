#include "http/memory_account.h"

namespace snipefall {

void memory_account::change(std::size_t from, std::size_t to)
{
    m_used = m_used - from + to;
    if (to > from && isNearlyShort() && m_onShort) {
        m_onShort();
    }
}

} // namespace snipefall
