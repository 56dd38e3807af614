#include "oracle.h"

#include <algorithm>

#include <fmt/format.h>

#include "shallotlever/config/codec.h"

namespace shallotlever::fuzz {

namespace {

/// Time after which a lowered rate must bind: two share leases, as a new controller may renew a
/// share once, and an election.
constexpr Duration kRateSettles = 6s;
/// Rounding of tokens, which buckets count in millionths.
constexpr double kRounding = 0.01;

} // namespace

void RateOracle::limit(double rate, double burst, TimePoint now)
{
    m_rates[now] = rate;
    m_burst = std::max(m_burst, burst);
}

double RateOracle::permittedRate(TimePoint now) const
{
    double permitted = 0;
    for (auto rate = m_rates.rbegin(); rate != m_rates.rend(); ++rate) {
        permitted = std::max(permitted, rate->second);
        if (rate->first + kRateSettles < now)
            break;
    }
    return permitted;
}

void RateOracle::admitted(TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_at).count();
    m_level = std::max(0.0, m_level - permittedRate(now) * seconds) + 1;
    m_at = now;
    ++m_total;
    if (m_level > m_burst + kRounding)
        throw Violation(fmt::format("admitted {:.2f} above the rate, burst {}", m_level, m_burst));
}

void ConfigOracle::decided(const OperatorChange &change, const ChangeResult &result,
                           const ClusterConfig &config)
{
    const auto [first, added] = m_results.emplace(change.id, result);
    if (!added && first->second != result)
        throw Violation(fmt::format("change {} got two outcomes", change.id.value()));
    if (result.outcome != ChangeOutcome::Accepted || config.version != result.version)
        return;
    if (result.version > m_newest) {
        m_newest = result.version;
        const std::set<DataCentreId> evacuated = evacuatedDataCentres(config);
        std::erase_if(m_evacuatedSince,
                      [&](const auto &since) { return !evacuated.contains(since.first); });
        for (const DataCentreId &dataCentre : evacuated)
            m_evacuatedSince.try_emplace(dataCentre, result.version);
    }
    const std::uint64_t digest = configDigest(config);
    const auto [known, isNew] = m_digests.emplace(result.version, digest);
    if (!isNew && known->second != digest)
        throw Violation(fmt::format("two configurations at version {}", result.version.value()));
    if (const auto *withdrawn = std::get_if<WithdrawKey>(&change.change))
        m_withdrawn.emplace(withdrawn->id, result.version);
}

void ConfigOracle::inForce(ConfigVersion version)
{
    m_reported = std::max(m_reported, version);
}

void ConfigOracle::works(const std::string &node, const DataCentreId &dataCentre) const
{
    const auto since = m_evacuatedSince.find(dataCentre);
    if (since != m_evacuatedSince.end() && since->second <= m_reported)
        throw Violation(fmt::format("{} sends work to {}, evacuated since version {}", node,
                                    dataCentre.value(), since->second.value()));
}

void ConfigOracle::serves(const std::string &node, const ClusterConfig &config,
                          ConfigVersion highest) const
{
    const std::uint64_t version = config.version.value();
    if (config.version < highest)
        throw Violation(
            fmt::format("{} went back from version {} to {}", node, highest.value(), version));
    if (config.version < m_reported)
        throw Violation(fmt::format("{} serves version {}, {} was reported as in force", node,
                                    version, m_reported.value()));
    if (!config.presets.contains(config.activePreset))
        throw Violation(fmt::format("{} has no preset in force", node));
    for (const auto &[key, since] : m_withdrawn) {
        if (since <= m_reported && config.keys.contains(key))
            throw Violation(fmt::format("{} accepts withdrawn key {}", node, key.value()));
    }
    const auto digest = m_digests.find(config.version);
    if (digest != m_digests.end() && digest->second != configDigest(config))
        throw Violation(fmt::format("{} has another configuration at version {}", node, version));
}

} // namespace shallotlever::fuzz
