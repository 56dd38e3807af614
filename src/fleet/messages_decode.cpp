#include "shallotlever/fleet/messages.h"

#include <type_traits>

#include <absl/status/status.h>
#include <flatbuffers/flatbuffers.h>

#include "generated/fleet_messages_generated.h"

namespace shallotlever {

namespace {

/// FlatBuffers reads scalars in place, which requires an aligned buffer.
constexpr std::size_t kBufferAlignment = 8;

/// Converts FlatBuffers tables to structs. `ok` becomes false when a value is out of range.
struct Decoder
{
    bool ok = true;

    template <typename IdType>
    IdType id(const flatbuffers::String *s) const
    {
        return IdType(s->str());
    }
    template <typename Enum, typename Raw>
    Enum enumeration(Raw raw, Raw last)
    {
        if (raw > last)
            ok = false;
        return static_cast<Enum>(raw);
    }
    template <typename Table, typename Function>
    auto decodeAll(const flatbuffers::Vector<flatbuffers::Offset<Table>> *vector, Function function)
    {
        std::vector<std::decay_t<decltype(function(*vector->Get(0)))>> items;
        if (vector == nullptr)
            return items;
        items.reserve(vector->size());
        for (const Table *table : *vector)
            items.push_back(function(*table));
        return items;
    }
    Duration nonNegativeDuration(std::int64_t count)
    {
        if (count < 0)
            ok = false;
        return Duration(count);
    }

    static FleetVersion version(const fbs::FleetVersion *v)
    {
        if (v == nullptr)
            return {};
        return { .controlTerm = ControlTerm(v->control_term()), .number = v->number() };
    }
    static std::string bytes(const flatbuffers::Vector<std::uint8_t> *v)
    {
        return { reinterpret_cast<const char *>(v->data()), v->size() };
    }

    HeardAnnouncement announcement(const fbs::HeardAnnouncement &t);
    NodeReport report(const fbs::NodeReport &t, bool nested);
    ConfigUpdate config(const fbs::ConfigUpdate &t);
    FleetChange change(const fbs::FleetChangeEntry &t);
    FleetUpdate fleet(const fbs::FleetUpdate &t);
    NodeLease lease(const fbs::NodeLease &t, bool nested);
};

HeardAnnouncement Decoder::announcement(const fbs::HeardAnnouncement &t)
{
    HeardAnnouncement heard;
    Announcement &a = heard.announcement;
    a.upstream = id<UpstreamId>(t.upstream());
    a.service = id<ServiceId>(t.service());
    a.dataCentre = id<DataCentreId>(t.data_centre());
    a.endpoint = { .host = t.host()->str(), .port = t.port() };
    a.slots = t.slots();
    a.connectionLimit = t.connection_limit();
    a.role = enumeration<UpstreamRole>(t.role(), fbs::Role::Primary);
    if (t.point() != nullptr)
        a.point = { .term = Term(t.point()->term()),
                    .position = LogPosition(t.point()->position()) };
    a.leaving = t.leaving();
    a.lifetime = Incarnation(t.lifetime());
    a.sequence = t.sequence();
    a.gone = t.gone();
    heard.age = nonNegativeDuration(t.age());
    return heard;
}

Observation observationOf(const fbs::Observation &t)
{
    return { .upstream = UpstreamId(t.upstream()->str()),
             .reachable = t.reachable(),
             .withdrawn = t.withdrawn() };
}

TeamDemand teamDemandOf(const fbs::TeamDemand &t)
{
    return { .team = TeamId(t.team()->str()),
             .arrivalsPerSecond = t.arrivals_per_second(),
             .returnedTokens = t.returned_tokens(),
             .heldRate = t.held_rate(),
             .heldBurst = t.held_burst() };
}

SlotDemand slotDemandOf(const fbs::SlotDemand &t)
{
    return { .upstream = UpstreamId(t.upstream()->str()),
             .connectionsOpen = t.connections_open(),
             .connectionsBusy = t.connections_busy(),
             .waiting = t.waiting(),
             .connectionsHeld = t.connections_held() };
}

NodeReport Decoder::report(const fbs::NodeReport &t, bool nested)
{
    NodeReport r;
    if (nested && t.nodes() != nullptr) {
        ok = false;
        return r;
    }
    r.node = id<NodeId>(t.node());
    r.incarnation = Incarnation(t.incarnation());
    r.number = t.number();
    r.age = nonNegativeDuration(t.age());
    r.appliedConfig = ConfigVersion(t.applied_config());
    r.appliedFleet = version(t.applied_fleet());
    r.appliedShares = t.applied_shares();
    r.announcements =
        decodeAll(t.announcements(), [this](const auto &a) { return announcement(a); });
    r.observations = decodeAll(t.observations(), observationOf);
    r.observationsBase = t.observations_base();
    r.controlOnly = t.control_only();
    if (t.data_centre() != nullptr)
        r.dataCentre = id<DataCentreId>(t.data_centre());
    r.leaving = t.leaving();
    r.processAge = nonNegativeDuration(t.process_age());
    r.knownMembers = t.known_members();
    if (t.fleet() != nullptr)
        r.fleet = fleet(*t.fleet());
    r.teams = decodeAll(t.teams(), teamDemandOf);
    r.slots = decodeAll(t.slots(), slotDemandOf);
    r.nodes = decodeAll(t.nodes(), [this](const auto &n) { return report(n, true); });
    return r;
}

ConfigUpdate Decoder::config(const fbs::ConfigUpdate &t)
{
    ConfigUpdate u;
    u.from = ConfigVersion(t.from());
    u.to = ConfigVersion(t.to());
    if (t.full() != nullptr)
        u.full = bytes(t.full());
    u.changes = decodeAll(t.changes(), [](const fbs::Blob &blob) { return bytes(blob.bytes()); });
    return u;
}

PutGroup putGroupOf(const fbs::PutGroup &t)
{
    PutGroup c;
    c.service = ServiceId(t.service()->str());
    c.term = Term(t.term());
    if (t.primary() != nullptr)
        c.primary = UpstreamId(t.primary()->str());
    if (t.voting_set() != nullptr) {
        for (const flatbuffers::String *member : *t.voting_set())
            c.votingSet.insert(UpstreamId(member->str()));
    }
    c.switchover = t.switchover();
    return c;
}

std::vector<NodeId>
nodesOf(const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>> *ids)
{
    std::vector<NodeId> nodes;
    if (ids == nullptr)
        return nodes;
    for (const flatbuffers::String *id : *ids)
        nodes.emplace_back(id->str());
    return nodes;
}

FleetChange Decoder::change(const fbs::FleetChangeEntry &t)
{
    switch (t.change_type()) {
    case fbs::FleetChange::PutGroup:
        return putGroupOf(*t.change_as_PutGroup());
    case fbs::FleetChange::RemoveGroup:
        return RemoveGroup { id<ServiceId>(t.change_as_RemoveGroup()->service()) };
    case fbs::FleetChange::PutUpstream: {
        const fbs::PutUpstream &u = *t.change_as_PutUpstream();
        return PutUpstream { {
            .id = id<UpstreamId>(u.upstream()),
            .service = id<ServiceId>(u.service()),
            .dataCentre = id<DataCentreId>(u.data_centre()),
            .endpoint = { .host = u.host()->str(), .port = u.port() },
            .slots = u.slots(),
            .connectionLimit = u.connection_limit(),
            .state = enumeration<UpstreamState>(u.state(), fbs::State::Leaving),
            .lifetime = Incarnation(u.lifetime()),
            .poolOwners = nodesOf(u.pool_owners()),
        } };
    }
    case fbs::FleetChange::RemoveUpstream: {
        const fbs::RemoveUpstream &u = *t.change_as_RemoveUpstream();
        return RemoveUpstream { id<ServiceId>(u.service()), id<UpstreamId>(u.upstream()) };
    }
    case fbs::FleetChange::SetDrained: {
        const fbs::SetDrained &u = *t.change_as_SetDrained();
        return SetDrained { id<UpstreamId>(u.upstream()), u.drained() };
    }
    default:
        ok = false;
        return RemoveGroup {};
    }
}

FleetUpdate Decoder::fleet(const fbs::FleetUpdate &t)
{
    FleetUpdate u;
    u.from = version(t.from());
    u.to = version(t.to());
    u.full = t.full();
    u.changes = decodeAll(t.changes(), [this](const auto &c) { return change(c); });
    return u;
}

RateShare rateShareOf(const fbs::RateShare &t)
{
    return { .team = TeamId(t.team()->str()),
             .ratePerSecond = t.rate_per_second(),
             .burst = t.burst(),
             .tokens = t.tokens(),
             .teamWithinRate = t.team_within_rate(),
             .grant = t.grant() };
}

SlotShare slotShareOf(const fbs::SlotShare &t)
{
    return { .upstream = UpstreamId(t.upstream()->str()), .connections = t.connections() };
}

NodeLease Decoder::lease(const fbs::NodeLease &t, bool nested)
{
    NodeLease l;
    if (nested && t.nodes() != nullptr) {
        ok = false;
        return l;
    }
    l.node = id<NodeId>(t.node());
    l.incarnation = Incarnation(t.incarnation());
    l.report = t.report();
    l.length = nonNegativeDuration(t.length());
    l.controlTerm = ControlTerm(t.control_term());
    l.logIndex = LogIndex(t.log_index());
    if (t.config() != nullptr)
        l.config = config(*t.config());
    if (t.fleet() != nullptr)
        l.fleet = fleet(*t.fleet());
    l.shareVersion = t.share_version();
    l.sharesUnchanged = t.shares_unchanged();
    l.rates = decodeAll(t.rates(), rateShareOf);
    l.slots = decodeAll(t.slots(), slotShareOf);
    l.wantsAllObservations = t.wants_all_observations();
    l.sharesRenewed = t.shares_renewed();
    l.wantsFleetView = t.wants_fleet_view();
    l.connectionsRenewed = t.connections_renewed();
    l.controlMembers = decodeAll(t.control_members(), [](const flatbuffers::String &member) {
        return NodeId(member.str());
    });
    l.nodes = decodeAll(t.nodes(), [this](const auto &n) { return lease(n, true); });
    return l;
}

/// Copies the payload to an aligned buffer; its offset within the received frame is arbitrary.
std::vector<std::uint64_t> alignedCopy(std::string_view bytes)
{
    std::vector<std::uint64_t> copy(bytes.size() / kBufferAlignment + 1);
    std::copy(bytes.begin(), bytes.end(), reinterpret_cast<char *>(copy.data()));
    return copy;
}

const fbs::FleetMessage *verified(const std::vector<std::uint64_t> &buffer, std::size_t size)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(buffer.data());
    flatbuffers::Verifier verifier(data, size);
    if (size < kBufferAlignment || !fbs::VerifyFleetMessageBuffer(verifier))
        return nullptr;
    return fbs::GetFleetMessage(data);
}

} // namespace

absl::StatusOr<NodeReport> decodeNodeReport(std::string_view bytes)
{
    const auto buffer = alignedCopy(bytes);
    const fbs::FleetMessage *message = verified(buffer, bytes.size());
    if (message == nullptr || message->report() == nullptr)
        return absl::InvalidArgumentError("not a node report");
    Decoder decoder;
    NodeReport report = decoder.report(*message->report(), false);
    if (!decoder.ok)
        return absl::InvalidArgumentError("node report with a value out of range");
    return report;
}

absl::StatusOr<NodeLease> decodeNodeLease(std::string_view bytes)
{
    const auto buffer = alignedCopy(bytes);
    const fbs::FleetMessage *message = verified(buffer, bytes.size());
    if (message == nullptr || message->lease() == nullptr)
        return absl::InvalidArgumentError("not a node lease");
    Decoder decoder;
    NodeLease lease = decoder.lease(*message->lease(), false);
    if (!decoder.ok)
        return absl::InvalidArgumentError("node lease with a value out of range");
    return lease;
}

} // namespace shallotlever
