#pragma once

#include <map>
#include <stdexcept>
#include <string>

#include "shallotlever/base/time.h"
#include "shallotlever/config/state.h"

namespace shallotlever::fuzz {

/// A property of the control plane was broken.
class Violation : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Watches one team's admissions over all nodes: admitted <= burst + rate * w in every window.
class RateOracle
{
public:
    /// The limit that a committed change put in force. A lowered limit binds once the leases in
    /// force have expired, so the highest rate of the last kRateSettles is permitted.
    void limit(double rate, double burst, TimePoint now);
    void admitted(TimePoint now);
    std::uint64_t total() const { return m_total; }

private:
    double permittedRate(TimePoint now) const;

    std::map<TimePoint, double> m_rates;
    double m_burst = 0;
    /// Largest excess of admissions over the rate in any window that ends at m_at.
    double m_level = 0;
    TimePoint m_at;
    std::uint64_t m_total = 0;
};

/// What the committed log says about configurations and what was reported as in force.
class ConfigOracle
{
public:
    /// A member computed this result; `config` is its configuration afterwards.
    void decided(const OperatorChange &change, const ChangeResult &result,
                 const ClusterConfig &config);
    /// A controller reported the version as in force.
    void inForce(ConfigVersion version);
    /// A node with a live lease serves requests under `config`. `highest` is the highest version
    /// that any of its processes has applied.
    void serves(const std::string &node, const ClusterConfig &config, ConfigVersion highest) const;

    /// A node with a live lease sends work to a database of the data centre.
    void works(const std::string &node, const DataCentreId &dataCentre) const;

    ConfigVersion reported() const { return m_reported; }
    std::size_t changes() const { return m_digests.size(); }

private:
    std::map<ChangeId, ChangeResult> m_results;
    std::map<ConfigVersion, std::uint64_t> m_digests;
    std::map<KeyId, ConfigVersion> m_withdrawn;
    ConfigVersion m_reported;
    /// The data centres that are evacuated in the newest configuration, and since which one.
    std::map<DataCentreId, ConfigVersion> m_evacuatedSince;
    ConfigVersion m_newest;
};

} // namespace shallotlever::fuzz
