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

/// Plain structs of the replicated state: what operators configured and what the controller
/// decided. Owned by the control log; nodes hold read-only copies.
namespace shallotlever {

struct ServiceConfig
{
    ServiceId id;
    /// Connections that each database of the service accepts from all callers together; 0: what
    /// the database announces.
    std::uint32_t connectionLimit = 0;
    /// Replicas that hold a commit before the database itself acknowledges it; 0: none.
    std::uint32_t confirmingReplicas = 0;
    /// The databases themselves decide when a commit is acknowledged, and a primary is replaced
    /// through the platform (see confirmed_change.h); the group then has no voting set.
    bool confirmsCommits = false;
    friend bool operator==(const ServiceConfig &, const ServiceConfig &) = default;
};

struct TeamConfig
{
    TeamId id;
    /// Requests per second over all VMs together.
    double ratePerSecond = 0;
    /// Requests that may exceed the rate at once, over all VMs together.
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

/// A statement open to all, without a key.
struct RouteConfig
{
    RouteId id;
    ServiceId service;
    std::string sql;
    /// Older data is served marked as degraded.
    std::chrono::milliseconds maxStaleness { 0 };
    friend bool operator==(const RouteConfig &, const RouteConfig &) = default;
};

/// Which commits a read on a database name has to see.
enum class Consistency : std::uint8_t {
    /// Every commit acknowledged before the read.
    Primary,
    /// Commits acknowledged longer than the permitted staleness ago.
    BoundedStaleness,
    /// The same, and every commit of the session itself.
    ReadYourWrites,
};

/// A database name that callers open sessions on.
struct DatabaseConfig
{
    DatabaseName name;
    ServiceId service;
    Consistency consistency = Consistency::Primary;
    /// Longest time for one statement.
    std::chrono::milliseconds statementTimeout { 0 };
    /// Time within which an operation should be answered.
    std::chrono::milliseconds latencyObjective { 0 };
    /// For BoundedStaleness and ReadYourWrites.
    std::chrono::milliseconds maxStaleness { 0 };
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Sessions need no key.
    bool open = false;
    friend bool operator==(const DatabaseConfig &, const DatabaseConfig &) = default;
};

/// What an operator installed as a whole, under a number of the operator's own.
struct InstalledConfig
{
    InstallNumber number;
    /// As the operator sent it, for reading back. Empty on nodes other than control members.
    std::string document;
    /// A transaction that stays idle for longer may be rolled back; 0: no limit.
    std::chrono::milliseconds transactionIdleLimit { 0 };
    friend bool operator==(const InstalledConfig &, const InstalledConfig &) = default;
};

/// Policies that a preset switches in one step.
struct PresetPolicy
{
    /// Requests of one team that may wait for one service on one node.
    std::uint32_t queueLimitPerTeam = 256;
    /// Longest wait for a rate token before a refusal. Covers one report interval: a small team's
    /// few tokens may all be at other nodes when a request arrives.
    std::chrono::milliseconds rateWait { 500 };
    /// Longest wait for a replica to catch up before the primary is used.
    std::chrono::milliseconds catchUpWait { 5 };
    /// Retries permitted per request sent, averaged over the node.
    double retryBudgetRatio = 0.1;
    std::uint32_t maxAttempts = 3;
    /// Used when the caller states no deadline.
    std::chrono::milliseconds defaultDeadline { 5000 };
    /// Share of a database's slots kept for open routes, 0 to 1.
    double openRouteReserve = 0.2;
    /// False refuses writes, as in maintenance.
    bool writesAllowed = true;
    friend bool operator==(const PresetPolicy &, const PresetPolicy &) = default;
};

struct PresetConfig
{
    PresetId id;
    PresetPolicy policy;
    friend bool operator==(const PresetConfig &, const PresetConfig &) = default;
};

/// What operators decide. version grows by one with each accepted change.
struct ClusterConfig
{
    ConfigVersion version;
    std::map<ServiceId, ServiceConfig> services;
    std::map<TeamId, TeamConfig> teams;
    std::map<KeyId, KeyConfig> keys;
    std::map<RouteId, RouteConfig> routes;
    std::map<DatabaseName, DatabaseConfig> databases;
    InstalledConfig installed;
    /// Holds "ordinary", "peak" and "maintenance" from the start.
    std::map<PresetId, PresetConfig> presets;
    PresetId activePreset;
    friend bool operator==(const ClusterConfig &, const ClusterConfig &) = default;
};

/// What the controller decided about one group of databases.
struct GroupState
{
    ServiceId service;
    /// Majorities are counted over this set, never over the databases that announce just now.
    std::set<UpstreamId> votingSet;
    /// Highest term ever reserved. Terms are never reused.
    Term reservedTerm;
    /// Term of the primary in office; lower than reservedTerm while a change of primary runs.
    Term term;
    std::optional<UpstreamId> primary;
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

using Change = std::variant<PutService, RemoveService, PutTeam, RemoveTeam, AddKey, WithdrawKey,
                            PutRoute, RemoveRoute, PutPreset, SetPreset>;

/// A change as an operator sends it.
struct OperatorChange
{
    ChangeId id;
    /// The change is accepted only if this is the version in force when it is decided.
    ConfigVersion basedOn;
    Change change;
};

/// Replaces services, teams, callers' keys and database names, if the number of `content.installed`
/// is higher than that of the configuration installed before. Other parts of `content` are not
/// used.
struct InstallConfig
{
    ClusterConfig content;
};

/// What an InstallConfig changed, for nodes that hold the configuration before it. Never an entry
/// of the control log.
struct ConfigDifference
{
    /// Entries that were added or changed, and `installed`. Other parts are not used.
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
    /// Why the change of primary was started; shown by explain.
    std::string reason;
};
struct SetPrimary
{
    ServiceId service;
    Term term;
    UpstreamId upstream;
};

using GroupDecision = std::variant<JoinVotingSet, LeaveVotingSet, ReserveTerm, SetPrimary>;

/// A node process is about to get leases, or, with incarnation 0, has had none for long. A new
/// controller so knows every process that may hold a lease of its predecessor.
struct RecordNode
{
    NodeId node;
    Incarnation incarnation;
    friend bool operator==(const RecordNode &, const RecordNode &) = default;
};

/// One entry of the control log, or a change of the configuration on its way to nodes.
using Command =
    std::variant<OperatorChange, GroupDecision, InstallConfig, RecordNode, ConfigDifference>;

enum class ChangeOutcome : std::uint8_t { Accepted, Conflict, Invalid };

/// First outcome of a change id, also given to each resend.
struct ChangeResult
{
    ChangeOutcome outcome = ChangeOutcome::Invalid;
    /// Accepted: the version this change made. Otherwise the version in force when it was decided.
    ConfigVersion version;
    /// Conflict: the change that took the version that was asked for, if still remembered.
    ChangeId winner;
    std::string message;
    friend bool operator==(const ChangeResult &, const ChangeResult &) = default;
};

/// One line of `shallotlever explain`.
struct DecisionRecord
{
    LogIndex index;
    /// Milliseconds since the Unix epoch at the controller that proposed it; for display only.
    std::int64_t wallTimeMs = 0;
    std::string text;
    friend bool operator==(const DecisionRecord &, const DecisionRecord &) = default;
};

/// The whole replicated state after the entry at `index`.
struct ClusterState
{
    LogIndex index;
    ClusterConfig config;
    std::map<ServiceId, GroupState> groups;
    /// Processes that may hold leases, where they are recorded (see RecordNode).
    std::map<NodeId, Incarnation> nodes;
};

} // namespace shallotlever
