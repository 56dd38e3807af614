#include "shallotlever/fleet/messages.h"

#include <algorithm>
#include <set>

#include <flatbuffers/flatbuffers.h>
#include <xxhash.h>

#include "generated/fleet_messages_generated.h"

namespace shallotlever {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

template <typename T>
using OffsetVector = Offset<flatbuffers::Vector<Offset<T>>>;

constexpr std::size_t kInitialBufferBytes = 1024;

template <typename Tag>
Offset<flatbuffers::String> packId(FlatBufferBuilder &b, const Id<Tag> &id)
{
    return b.CreateSharedString(id.value());
}

template <typename Ids>
OffsetVector<flatbuffers::String> packIds(FlatBufferBuilder &b, const Ids &ids)
{
    std::vector<Offset<flatbuffers::String>> packed;
    for (const auto &id : ids)
        packed.push_back(packId(b, id));
    return packed.empty() ? OffsetVector<flatbuffers::String>(0) : b.CreateVector(packed);
}

/// Omits an empty vector, which saves bytes on the wire.
template <typename Table, typename Item, typename Pack>
OffsetVector<Table> packAll(FlatBufferBuilder &b, const std::vector<Item> &items, Pack pack)
{
    if (items.empty())
        return 0;
    std::vector<Offset<Table>> offsets;
    offsets.reserve(items.size());
    for (const Item &item : items)
        offsets.push_back(pack(b, item));
    return b.CreateVector(offsets);
}

fbs::FleetVersion packVersion(const FleetVersion &version)
{
    return { version.controlTerm.value(), version.number };
}

Offset<fbs::HeardAnnouncement> packAnnouncement(FlatBufferBuilder &b, const HeardAnnouncement &h)
{
    const Announcement &a = h.announcement;
    const fbs::HistoryPoint point(a.point.term.value(), a.point.position.value());
    return fbs::CreateHeardAnnouncement(
        b, packId(b, a.upstream), packId(b, a.service), packId(b, a.dataCentre),
        b.CreateSharedString(a.endpoint.host), a.endpoint.port, a.slots, a.connectionLimit,
        static_cast<fbs::Role>(a.role), &point, a.leaving, h.age.count(), a.lifetime.value(),
        a.sequence, a.gone);
}

Offset<fbs::Observation> packObservation(FlatBufferBuilder &b, const Observation &o)
{
    return fbs::CreateObservation(b, packId(b, o.upstream), o.reachable, o.withdrawn);
}

Offset<fbs::TeamDemand> packTeamDemand(FlatBufferBuilder &b, const TeamDemand &d)
{
    return fbs::CreateTeamDemand(b, packId(b, d.team), d.arrivalsPerSecond, d.returnedTokens,
                                 d.heldRate, d.heldBurst);
}

Offset<fbs::SlotDemand> packSlotDemand(FlatBufferBuilder &b, const SlotDemand &d)
{
    return fbs::CreateSlotDemand(b, packId(b, d.upstream), d.connectionsOpen, d.connectionsBusy,
                                 d.waiting, d.connectionsHeld);
}

/// Builds the table of one alternative of FleetChange.
struct ChangePacker
{
    FlatBufferBuilder &b;

    Offset<fbs::FleetChangeEntry> entry(fbs::FleetChange type, Offset<void> table) const
    {
        return fbs::CreateFleetChangeEntry(b, type, table);
    }
    Offset<fbs::FleetChangeEntry> operator()(const PutGroup &c) const
    {
        const auto set = packIds(b, c.votingSet);
        const auto primary = c.primary ? packId(b, *c.primary) : 0;
        const auto service = packId(b, c.service);
        return entry(
            fbs::FleetChange::PutGroup,
            fbs::CreatePutGroup(b, service, c.term.value(), primary, set, c.switchover).Union());
    }
    Offset<fbs::FleetChangeEntry> operator()(const RemoveGroup &c) const
    {
        return entry(fbs::FleetChange::RemoveGroup,
                     fbs::CreateRemoveGroup(b, packId(b, c.service)).Union());
    }
    Offset<fbs::FleetChangeEntry> operator()(const PutUpstream &c) const
    {
        const UpstreamInfo &i = c.info;
        const auto owners = packIds(b, i.poolOwners);
        return entry(
            fbs::FleetChange::PutUpstream,
            fbs::CreatePutUpstream(b, packId(b, i.id), packId(b, i.service),
                                   packId(b, i.dataCentre), b.CreateSharedString(i.endpoint.host),
                                   i.endpoint.port, i.slots, i.connectionLimit,
                                   static_cast<fbs::State>(i.state), i.lifetime.value(), owners)
                .Union());
    }
    Offset<fbs::FleetChangeEntry> operator()(const RemoveUpstream &c) const
    {
        return entry(
            fbs::FleetChange::RemoveUpstream,
            fbs::CreateRemoveUpstream(b, packId(b, c.service), packId(b, c.upstream)).Union());
    }
    Offset<fbs::FleetChangeEntry> operator()(const SetDrained &c) const
    {
        return entry(fbs::FleetChange::SetDrained,
                     fbs::CreateSetDrained(b, packId(b, c.upstream), c.drained).Union());
    }
};

Offset<fbs::FleetChangeEntry> packChange(FlatBufferBuilder &b, const FleetChange &change)
{
    return std::visit(ChangePacker { b }, change);
}

Offset<fbs::FleetUpdate> packFleet(FlatBufferBuilder &b, const FleetUpdate &u)
{
    const auto changes = packAll<fbs::FleetChangeEntry>(b, u.changes, packChange);
    const fbs::FleetVersion from = packVersion(u.from);
    const fbs::FleetVersion to = packVersion(u.to);
    return fbs::CreateFleetUpdate(b, &from, &to, u.full, changes);
}

Offset<fbs::NodeReport> packReport(FlatBufferBuilder &b, const NodeReport &r)
{
    const auto nodes = packAll<fbs::NodeReport>(b, r.nodes, packReport);
    const auto announcements =
        packAll<fbs::HeardAnnouncement>(b, r.announcements, packAnnouncement);
    const auto observations = packAll<fbs::Observation>(b, r.observations, packObservation);
    const auto teams = packAll<fbs::TeamDemand>(b, r.teams, packTeamDemand);
    const auto slots = packAll<fbs::SlotDemand>(b, r.slots, packSlotDemand);
    const fbs::FleetVersion applied = packVersion(r.appliedFleet);
    const auto fleet = r.fleet ? packFleet(b, *r.fleet) : Offset<fbs::FleetUpdate>(0);
    return fbs::CreateNodeReport(b, packId(b, r.node), r.incarnation.value(), r.number,
                                 r.age.count(), r.appliedConfig.value(), &applied, r.appliedShares,
                                 announcements, observations, r.observationsBase, teams, slots,
                                 nodes, r.controlOnly, packId(b, r.dataCentre), r.leaving,
                                 r.processAge.count(), r.knownMembers, fleet);
}

Offset<flatbuffers::Vector<std::uint8_t>> packBytes(FlatBufferBuilder &b, const std::string &bytes)
{
    return b.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

Offset<fbs::Blob> packBlob(FlatBufferBuilder &b, const std::string &bytes)
{
    return fbs::CreateBlob(b, packBytes(b, bytes));
}

Offset<fbs::ConfigUpdate> packConfig(FlatBufferBuilder &b, const ConfigUpdate &u)
{
    const auto full = u.full ? packBytes(b, *u.full) : 0;
    const auto changes = packAll<fbs::Blob>(b, u.changes, packBlob);
    return fbs::CreateConfigUpdate(b, u.from.value(), u.to.value(), full, changes);
}

Offset<fbs::RateShare> packRate(FlatBufferBuilder &b, const RateShare &s)
{
    return fbs::CreateRateShare(b, packId(b, s.team), s.ratePerSecond, s.burst, s.tokens,
                                s.teamWithinRate, s.grant);
}

Offset<fbs::SlotShare> packSlot(FlatBufferBuilder &b, const SlotShare &s)
{
    return fbs::CreateSlotShare(b, packId(b, s.upstream), s.connections);
}

Offset<fbs::NodeLease> packLease(FlatBufferBuilder &b, const NodeLease &l)
{
    const auto nodes = packAll<fbs::NodeLease>(b, l.nodes, packLease);
    const auto config = packConfig(b, l.config);
    const auto fleet = packFleet(b, l.fleet);
    const auto rates = packAll<fbs::RateShare>(b, l.rates, packRate);
    const auto slots = packAll<fbs::SlotShare>(b, l.slots, packSlot);
    const auto members = packIds(b, l.controlMembers);
    return fbs::CreateNodeLease(b, packId(b, l.node), l.incarnation.value(), l.report,
                                l.length.count(), l.controlTerm.value(), l.logIndex.value(), config,
                                fleet, l.shareVersion, l.sharesUnchanged, rates, slots,
                                l.wantsAllObservations, nodes, l.sharesRenewed, members,
                                l.wantsFleetView, l.connectionsRenewed);
}

std::string finish(FlatBufferBuilder &b, Offset<fbs::FleetMessage> root)
{
    fbs::FinishFleetMessageBuffer(b, root);
    return { reinterpret_cast<const char *>(b.GetBufferPointer()), b.GetSize() };
}

} // namespace

std::uint64_t controlMembersDigest(const std::vector<NodeId> &members)
{
    std::string text;
    for (const NodeId &member : std::set<NodeId>(members.begin(), members.end()))
        text += member.value() + '\n';
    return text.empty() ? 0 : std::max<std::uint64_t>(XXH3_64bits(text.data(), text.size()), 1);
}

std::string encodeNodeReport(const NodeReport &report)
{
    FlatBufferBuilder b(kInitialBufferBytes);
    const auto packed = packReport(b, report);
    return finish(b, fbs::CreateFleetMessage(b, packed, 0));
}

std::string encodeNodeLease(const NodeLease &lease)
{
    FlatBufferBuilder b(kInitialBufferBytes);
    const auto packed = packLease(b, lease);
    return finish(b, fbs::CreateFleetMessage(b, 0, packed));
}

} // namespace shallotlever
