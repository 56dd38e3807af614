#include "arrivals.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace shallotlever::load {

ArrivalProcess::ArrivalProcess(double ratePerSecond, std::vector<Phase> phases, std::uint64_t seed)
    : m_rate(ratePerSecond)
    , m_phases(std::move(phases))
    , m_random(seed)
{
}

double ArrivalProcess::next()
{
    // Exponential amount of work, used up phase by phase at the rate of each.
    double need = -std::log1p(-uniformUnit(m_random));
    for (std::size_t i = 0; i < m_phases.size(); ++i) {
        const double end = i + 1 < m_phases.size() ? m_phases[i + 1].fromSeconds
                                                   : std::numeric_limits<double>::infinity();
        const double rate = m_rate * m_phases[i].multiple;
        if (m_now >= end || rate <= 0) {
            m_now = std::max(m_now, end);
            continue;
        }
        if (m_now + need / rate < end) {
            m_now += need / rate;
            return m_now;
        }
        need -= (end - m_now) * rate;
        m_now = end;
    }
    return m_now = std::numeric_limits<double>::infinity();
}

RateAccount::RateAccount(double ratePerSecond, double burst)
    : m_rate(ratePerSecond)
    , m_burst(burst)
    , m_tokens(burst)
{
}

bool RateAccount::takeAt(double seconds)
{
    if (seconds > m_last) {
        m_tokens = std::min(m_burst, m_tokens + (seconds - m_last) * m_rate);
        m_last = seconds;
    }
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace shallotlever::load
