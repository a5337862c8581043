#include "policy/suspicion.h"

#include <algorithm>
#include <cmath>

namespace snipefall {

suspicion::suspicion(time_point started, duration minTimeout, duration maxTimeout, std::size_t confirmations)
    : m_started(started)
    , m_minTimeout(minTimeout)
    , m_maxTimeout(maxTimeout)
    , m_confirmations(confirmations)
{
}

bool suspicion::confirm(const node_id &accuser)
{
    // The first accuser starts the suspicion and doesn't count as a confirmation, hence <= instead of <.
    return !accuser.empty() && m_accusers.size() <= m_confirmations && m_accusers.insert(accuser).second;
}

time_point suspicion::deadline() const
{
    const std::size_t confirmed = m_accusers.empty() ? 0 : m_accusers.size() - 1;
    const double confirmedShare =
        m_confirmations == 0 ? 1.0 : std::log(static_cast<double>(confirmed) + 1.0) / std::log(static_cast<double>(m_confirmations) + 1.0);
    const auto range = static_cast<double>((m_maxTimeout - m_minTimeout).count());
    const duration timeout = m_maxTimeout - duration(static_cast<duration::rep>(range * std::min(confirmedShare, 1.0)));
    return m_started + std::max(timeout, m_minTimeout);
}

} // namespace snipefall
