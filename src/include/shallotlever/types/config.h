#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "shallotlever/base/ids.h"
#include "shallotlever/base/time.h"
#include "shallotlever/types/fleet.h"

/// Plain structs of the replicated state: the configuration set by operators and the decisions of
/// the controller. Owned by the control log; nodes hold read-only copies.
namespace shallotlever {

struct ServiceConfig
{
    ServiceId id;
    /// Maximum number of connections to each database of the service, over all callers; 0 uses the
    /// limit that the database announces.
    std::uint32_t connectionLimit = 0;
    /// Replicas that must confirm a commit before the database acknowledges it; 0: none.
    std::uint32_t confirmingReplicas = 0;
    /// The databases themselves decide when a commit is acknowledged, and the primary is replaced
    /// through the platform (see confirmed_change.h). The group then has no voting set.
    bool confirmsCommits = false;
    friend bool operator==(const ServiceConfig &, const ServiceConfig &) = default;
};

struct TeamConfig
{
    TeamId id;
    /// Requests per second, summed over all VMs.
    double ratePerSecond = 0;
    /// Capacity of the token bucket in requests, summed over all VMs.
    double burst = 0;
    /// Services the team may use; empty means every service.
    std::set<ServiceId> services;
    friend bool operator==(const TeamConfig &, const TeamConfig &) = default;
};

enum class KeyRole : std::uint8_t { Caller, Operator, Upstream };

using KeyHash = std::array<std::uint8_t, 32>;

struct KeyConfig
{
    KeyId id;
    KeyRole role = KeyRole::Caller;
    /// Set for KeyRole::Caller only.
    TeamId team;
    /// Set for KeyRole::Upstream only: the service whose upstreams may announce with this key.
    ServiceId service;
    /// SHA-256 of the secret part.
    KeyHash hash {};
    friend bool operator==(const KeyConfig &, const KeyConfig &) = default;
};

/// A statement that callers may run without a key.
struct RouteConfig
{
    RouteId id;
    ServiceId service;
    std::string sql;
    /// Answers with older data are marked as degraded.
    std::chrono::milliseconds maxStaleness { 0 };
    friend bool operator==(const RouteConfig &, const RouteConfig &) = default;
};

/// Which commits a read through a database name must observe.
enum class Consistency : std::uint8_t {
    /// Every commit acknowledged before the read.
    Primary,
    /// Commits acknowledged longer than the permitted staleness ago.
    BoundedStaleness,
    /// As BoundedStaleness, and every earlier commit of the same session.
    ReadYourWrites,
};

/// A logical database name on which callers open sessions.
struct DatabaseConfig
{
    DatabaseName name;
    ServiceId service;
    Consistency consistency = Consistency::Primary;
    /// Maximum duration of one statement.
    std::chrono::milliseconds statementTimeout { 0 };
    /// Target latency of an operation.
    std::chrono::milliseconds latencyObjective { 0 };
    /// For BoundedStaleness and ReadYourWrites.
    std::chrono::milliseconds maxStaleness { 0 };
    /// 0 is the highest priority.
    std::uint32_t priority = 0;
    /// Sessions can be opened without a key.
    bool open = false;
    friend bool operator==(const DatabaseConfig &, const DatabaseConfig &) = default;
};

/// A complete configuration installed by an operator, under a number that the operator chose.
struct InstalledConfig
{
    InstallNumber number;
    /// The document as the operator sent it, so that it can be read back. Empty on nodes that are
    /// not control members.
    std::string document;
    /// A transaction that is idle for longer may be rolled back; 0: no limit.
    std::chrono::milliseconds transactionIdleLimit { 0 };
    friend bool operator==(const InstalledConfig &, const InstalledConfig &) = default;
};

/// Policy settings that are switched together by a preset.
struct PresetPolicy
{
    /// Maximum queue length per team, service and node.
    std::uint32_t queueLimitPerTeam = 256;
    /// Maximum wait for a rate token before a request is refused. Covers one report interval: the
    /// few tokens of a team with a low rate may all be held by other nodes when a request arrives.
    std::chrono::milliseconds rateWait { 500 };
    /// Maximum wait for a replica to catch up before the primary is used.
    std::chrono::milliseconds catchUpWait { 5 };
    /// Maximum ratio of retries to requests, averaged over the node.
    double retryBudgetRatio = 0.1;
    std::uint32_t maxAttempts = 3;
    /// Used if the caller sends no deadline.
    std::chrono::milliseconds defaultDeadline { 5000 };
    /// Share of a database's slots reserved for open routes, 0 to 1.
    double openRouteReserve = 0.2;
    /// False during maintenance: writes are refused.
    bool writesAllowed = true;
    friend bool operator==(const PresetPolicy &, const PresetPolicy &) = default;
};

struct PresetConfig
{
    PresetId id;
    PresetPolicy policy;
    friend bool operator==(const PresetConfig &, const PresetConfig &) = default;
};

/// The last order of an operator about one data centre. An order that is withdrawn is kept, so that
/// one that was given before the withdrawal and arrives after it is recognised.
struct EvacuationOrder
{
    /// The databases of the data centre get no work, and none of them is primary while another may
    /// be.
    bool inForce = false;
    /// Version of the configuration that the order created.
    ConfigVersion orderedAt;
    friend bool operator==(const EvacuationOrder &, const EvacuationOrder &) = default;
};

/// The configuration set by operators. `version` increases by one with each accepted change.
struct ClusterConfig
{
    ConfigVersion version;
    std::map<ServiceId, ServiceConfig> services;
    std::map<TeamId, TeamConfig> teams;
    std::map<KeyId, KeyConfig> keys;
    std::map<RouteId, RouteConfig> routes;
    std::map<DatabaseName, DatabaseConfig> databases;
    InstalledConfig installed;
    /// Always contains "ordinary", "peak" and "maintenance".
    std::map<PresetId, PresetConfig> presets;
    PresetId activePreset;
    /// Installing a configuration keeps them.
    std::map<DataCentreId, EvacuationOrder> evacuations;
    friend bool operator==(const ClusterConfig &, const ClusterConfig &) = default;
};

inline bool isEvacuated(const ClusterConfig &config, const DataCentreId &dataCentre)
{
    const auto order = config.evacuations.find(dataCentre);
    return order != config.evacuations.end() && order->second.inForce;
}

inline std::set<DataCentreId> evacuatedDataCentres(const ClusterConfig &config)
{
    std::set<DataCentreId> evacuated;
    for (const auto &[dataCentre, order] : config.evacuations) {
        if (order.inForce)
            evacuated.insert(dataCentre);
    }
    return evacuated;
}

/// What is recorded about a member of a group whose databases confirm commits themselves.
struct MemberRecord
{
    Endpoint endpoint;
    DataCentreId dataCentre;
    std::uint32_t slots = 0;
    std::uint32_t connectionLimit = 0;
    friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

/// Decisions of the controller about one group of databases.
struct GroupState
{
    ServiceId service;
    /// Majorities are counted over this set, never over the databases that are announcing
    /// currently.
    std::set<UpstreamId> votingSet;
    /// Highest term reserved so far. Terms are never reused.
    Term reservedTerm;
    /// Term of the current primary; lower than reservedTerm during a change of primary.
    Term term;
    std::optional<UpstreamId> primary;
    /// Process that was put into office as the primary; 0 if not known.
    Incarnation primaryIncarnation;
    /// Processes that may hold acknowledged commits; empty unless the databases confirm commits
    /// themselves.
    std::map<MemberId, MemberRecord> members;
    friend bool operator==(const GroupState &, const GroupState &) = default;
};

// Operations of operators.
struct PutService
{
    ServiceConfig service;
};
struct RemoveService
{
    ServiceId id;
};
struct PutTeam
{
    TeamConfig team;
};
struct RemoveTeam
{
    TeamId id;
};
struct AddKey
{
    KeyConfig key;
};
struct WithdrawKey
{
    KeyId id;
};
struct PutRoute
{
    RouteConfig route;
};
struct RemoveRoute
{
    RouteId id;
};
struct PutPreset
{
    PresetConfig preset;
};
struct SetPreset
{
    PresetId id;
};
struct PutEvacuation
{
    DataCentreId dataCentre;
};
struct RemoveEvacuation
{
    DataCentreId dataCentre;
};

using Change =
    std::variant<PutService, RemoveService, PutTeam, RemoveTeam, AddKey, WithdrawKey, PutRoute,
                 RemoveRoute, PutPreset, SetPreset, PutEvacuation, RemoveEvacuation>;

/// A change as an operator sends it.
struct OperatorChange
{
    ChangeId id;
    /// The change is accepted only if this is the current version when it is applied. An evacuation
    /// or its end is refused only if the last order about the data centre says the opposite and is
    /// newer than this version.
    ConfigVersion basedOn;
    Change change;
};

/// Replaces services, teams, callers' keys and database names if `content.installed.number` is
/// higher than the number of the installed configuration. Other parts of `content` are ignored.
struct InstallConfig
{
    ClusterConfig content;
};

/// Changes made by an InstallConfig, sent to nodes that hold the previous configuration. Never an
/// entry of the control log.
struct ConfigDifference
{
    /// Added and changed entries, and `installed`. Other parts are ignored.
    ClusterConfig changed;
    std::set<ServiceId> removedServices;
    std::set<TeamId> removedTeams;
    std::set<KeyId> removedKeys;
    std::set<DatabaseName> removedDatabases;
};

// Decisions of the controller about groups of databases.
struct JoinVotingSet
{
    ServiceId service;
    UpstreamId upstream;
};
struct LeaveVotingSet
{
    ServiceId service;
    UpstreamId upstream;
};
struct ReserveTerm
{
    ServiceId service;
    Term term;
    /// Reason for the change of primary, shown by the `explain` command.
    std::string reason;
};
struct SetPrimary
{
    ServiceId service;
    Term term;
    UpstreamId upstream;
    /// 0 if not known.
    Incarnation incarnation {};
};
/// Processes that join and leave the members of a group whose databases confirm commits themselves.
/// None leaves during a change of primary, which counts them.
struct ChangeMembers
{
    ServiceId service;
    std::map<MemberId, MemberRecord> joining;
    std::set<MemberId> leaving;
    friend bool operator==(const ChangeMembers &, const ChangeMembers &) = default;
};

using GroupDecision =
    std::variant<JoinVotingSet, LeaveVotingSet, ReserveTerm, SetPrimary, ChangeMembers>;

/// Records a node process before it is granted leases, or removes the record if `incarnation` is 0,
/// when the process has not held a lease for a long time. A new controller thereby knows every
/// process that may still hold a lease granted by its predecessor.
struct RecordNode
{
    NodeId node;
    Incarnation incarnation;
    friend bool operator==(const RecordNode &, const RecordNode &) = default;
};

/// A control log entry, or a configuration change sent to the nodes.
using Command =
    std::variant<OperatorChange, GroupDecision, InstallConfig, RecordNode, ConfigDifference>;

enum class ChangeOutcome : std::uint8_t { Accepted, Conflict, Invalid };

/// First outcome of a change id; each resend gets the same outcome.
struct ChangeResult
{
    ChangeOutcome outcome = ChangeOutcome::Invalid;
    /// Accepted: the version created by this change. Otherwise the version current at that time.
    ConfigVersion version;
    /// Conflict: the change that created the requested version, if it is still in the history.
    ChangeId winner;
    std::string message;
    friend bool operator==(const ChangeResult &, const ChangeResult &) = default;
};

/// One line of `shallotlever explain`.
struct DecisionRecord
{
    LogIndex index;
    /// Milliseconds since the Unix epoch, by the clock of the proposing controller; for display
    /// only.
    std::int64_t wallTimeMs = 0;
    std::string text;
    friend bool operator==(const DecisionRecord &, const DecisionRecord &) = default;
};

/// Configuration, groups and recorded nodes after the log entry at `index` was applied.
struct ClusterState
{
    LogIndex index;
    ClusterConfig config;
    std::map<ServiceId, GroupState> groups;
    /// Node processes that may hold leases (see RecordNode).
    std::map<NodeId, Incarnation> nodes;
};

} // namespace shallotlever
