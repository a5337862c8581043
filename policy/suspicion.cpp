#include "policy/suspicion.h"

#include <algorithm>
#include <cmath>

namespace snipefall {

suspicion::suspicion(time_point started, duration shortest, duration longest, std::size_t confirmations)
    : m_started(started)
    , m_shortest(shortest)
    , m_longest(longest)
    , m_confirmations(confirmations)
{
}

bool suspicion::confirm(const node_id &accuser)
{
    // The first accuser starts the suspicion and isn't a confirmation.
    return !accuser.empty() && m_accusers.size() <= m_confirmations && m_accusers.insert(accuser).second;
}

time_point suspicion::deadline() const
{
    const std::size_t confirmed = m_accusers.empty() ? 0 : m_accusers.size() - 1;
    const double share = m_confirmations == 0 ? 1.0 : std::log(static_cast<double>(confirmed) + 1.0) / std::log(static_cast<double>(m_confirmations) + 1.0);
    const auto span = static_cast<double>((m_longest - m_shortest).count());
    const duration left = m_longest - duration(static_cast<duration::rep>(span * std::min(share, 1.0)));
    return m_started + std::max(left, m_shortest);
}

} // namespace snipefall
