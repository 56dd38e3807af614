#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "shallotlever/base/ids.h"
#include "shallotlever/base/time.h"

/// Plain structs that describe upstreams, shared by the registry, the proxy and the controller.
namespace shallotlever {

enum class UpstreamRole : std::uint8_t { Replica, Primary };

struct Endpoint
{
    /// IP address.
    std::string host;
    std::uint16_t port = 0;
    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

/// State that an upstream announces about itself. Renewed every second.
struct Announcement
{
    UpstreamId upstream;
    ServiceId service;
    DataCentreId dataCentre;
    Endpoint endpoint;
    /// Statements the database executes at the same time.
    std::uint32_t slots = 0;
    std::uint32_t connectionLimit = 0;
    UpstreamRole role = UpstreamRole::Replica;
    HistoryPoint point;
    bool leaving = false;
    /// Identifies the database process; increases with each process of the same upstream id. 0 if
    /// the database does not report it.
    Incarnation lifetime;
    /// Increases with each announcement of a lifetime; 0 if the database does not number them.
    std::uint64_t sequence = 0;
    /// Final announcement: the database process has ended.
    bool gone = false;
    friend bool operator==(const Announcement &, const Announcement &) = default;
};

/// One process of a database. A database that starts again under its id is another member of its
/// group.
struct MemberId
{
    UpstreamId upstream;
    Incarnation incarnation;
    friend auto operator<=>(const MemberId &, const MemberId &) = default;
};

/// Reply of an upstream to a status, fence or promote call.
struct UpstreamStatus
{
    /// Term of the history that the database's log follows, and the length of the log.
    HistoryPoint point;
    UpstreamRole role = UpstreamRole::Replica;
    /// The database refuses commits and replication streams of any term below this one.
    Term fencedTerm;
    /// Newest term known to the database, which may be ahead of its log; 0 if not reported.
    Term newestTerm;
    /// Open connections from all callers as counted by the database; 0 if not reported.
    std::uint32_t connections = 0;
    /// When the connection that carried the reply was opened, by the receiver's clock. The process
    /// behind it has not changed since. 0 if not known.
    TimePoint connectedAt {};
    friend bool operator==(const UpstreamStatus &, const UpstreamStatus &) = default;
};

enum class UpstreamState : std::uint8_t {
    Live,
    /// Its announcements stopped or several nodes cannot reach it; receives no new requests.
    Suspected,
    /// Announced that it is leaving, or drained by an operator; receives no new requests.
    Leaving,
};

/// Fleet view entry of an upstream. Its log position is absent because nodes query it themselves.
struct UpstreamInfo
{
    UpstreamId id;
    ServiceId service;
    DataCentreId dataCentre;
    Endpoint endpoint;
    std::uint32_t slots = 0;
    std::uint32_t connectionLimit = 0;
    UpstreamState state = UpstreamState::Live;
    Incarnation lifetime;
    /// Nodes that hold the connections to the database, the active one first (pool_owner.h). Empty
    /// if every node holds connections of its own.
    std::vector<NodeId> poolOwners;
    friend bool operator==(const UpstreamInfo &, const UpstreamInfo &) = default;
};

/// In a planned change of primary, time for commits under way to complete after the nodes stopped
/// using the primary.
constexpr Duration kQuiescePeriod = 60ms;

struct GroupView
{
    ServiceId service;
    /// Term of the current primary.
    Term term;
    /// Unset while it is being replaced, if the databases confirm commits themselves.
    std::optional<UpstreamId> primary;
    /// The change of primary under way is planned: the controller waits kQuiescePeriod for the last
    /// commits of the former one.
    bool switchover = false;
    std::set<UpstreamId> votingSet;
    std::map<UpstreamId, UpstreamInfo> upstreams;
    friend bool operator==(const GroupView &, const GroupView &) = default;
};

struct FleetView
{
    std::map<ServiceId, GroupView> groups;
    friend bool operator==(const FleetView &, const FleetView &) = default;
};

/// Smallest number of members that is a majority of `members`.
constexpr std::size_t majorityOf(std::size_t members)
{
    return members / 2 + 1;
}

} // namespace shallotlever
