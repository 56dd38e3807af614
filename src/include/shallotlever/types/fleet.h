#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "shallotlever/base/ids.h"
#include "shallotlever/base/time.h"

/// Plain structs about upstreams, shared by the libraries that observe, route and decide.
namespace shallotlever {

enum class UpstreamRole : std::uint8_t { Replica, Primary };

struct Endpoint
{
    /// IP address.
    std::string host;
    std::uint16_t port = 0;
    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

/// What an upstream says of itself, renewed every second.
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
    /// Start of the database process; grows from one process to the next of the same id. 0 if the
    /// database does not tell.
    Incarnation lifetime;
    /// Grows with each announcement of a lifetime; 0 if the database does not count them.
    std::uint64_t sequence = 0;
    /// The database has ended; its last announcement.
    bool gone = false;
    friend bool operator==(const Announcement &, const Announcement &) = default;
};

/// Answer of an upstream to status, fence and promote.
struct UpstreamStatus
{
    /// Term of the history that the log is known to follow, and the log's length.
    HistoryPoint point;
    UpstreamRole role = UpstreamRole::Replica;
    /// Commits and replication streams of a lower term are refused.
    Term fencedTerm;
    /// Newest term that the database knows, which its log may not have reached; 0 if not told.
    Term newestTerm;
    /// Connections of all callers as the database counts them; 0 if not told.
    std::uint32_t connections = 0;
    friend bool operator==(const UpstreamStatus &, const UpstreamStatus &) = default;
};

enum class UpstreamState : std::uint8_t {
    Live,
    /// Several nodes cannot reach it; gets no new work.
    Suspected,
    /// Asked to leave or drained by an operator; gets no new work.
    Leaving,
};

/// An upstream as nodes see it, without its position, which nodes observe themselves.
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
    friend bool operator==(const UpstreamInfo &, const UpstreamInfo &) = default;
};

struct GroupView
{
    ServiceId service;
    /// Term of the primary in office.
    Term term;
    std::optional<UpstreamId> primary;
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
