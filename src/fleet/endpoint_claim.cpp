#include "shallotlever/fleet/endpoint_claim.h"

#include <algorithm>

namespace shallotlever {

namespace {

MemberId processOf(const RegistryEntry &entry)
{
    return { entry.announcement.upstream, entry.announcement.lifetime };
}

/// Returns another upstream that holds the endpoint of the announcement, or nullptr.
RegistryEntry *otherAtEndpoint(Registry &registry, const Announcement &announcement)
{
    for (auto &[id, entry] : registry.entries) {
        if (id != announcement.upstream && entry.hold == EndpointHold::Held
            && entry.announcement.endpoint == announcement.endpoint)
            return &entry;
    }
    return nullptr;
}

void addEvent(Registry &registry, RegistryEvent::Kind kind, const MemberId &holder,
              const MemberId &claimant)
{
    registry.events.push_back({ kind, holder, claimant });
}

/// Forgets the later processes that were announced at the endpoint of `holder`.
void refuteClaims(Registry &registry, const RegistryEntry &holder)
{
    const MemberId process = processOf(holder);
    for (auto item = registry.entries.begin(); item != registry.entries.end();) {
        const Announcement &other = item->second.announcement;
        if (other.endpoint != holder.announcement.endpoint || other.lifetime <= process.incarnation
            || item->first == process.upstream) {
            ++item;
            continue;
        }
        addEvent(registry, RegistryEvent::Kind::ClaimRefuted, process, processOf(item->second));
        registry.endedLifetimes[item->first] = other.lifetime;
        item = registry.entries.erase(item);
    }
}

/// Ends the processes whose endpoint the later one at `claimant` has taken over.
void settleClaims(Registry &registry, const RegistryEntry &claimant)
{
    for (auto &[id, entry] : registry.entries) {
        if (entry.hold != EndpointHold::Claimed
            || entry.announcement.endpoint != claimant.announcement.endpoint
            || entry.announcement.lifetime >= claimant.announcement.lifetime)
            continue;
        entry.hold = EndpointHold::Lost;
        addEvent(registry, RegistryEvent::Kind::EndpointLost, processOf(entry),
                 processOf(claimant));
        ++registry.revision;
    }
}

} // namespace

bool claimEndpoint(Registry &registry, const Announcement &announcement, TimePoint now)
{
    RegistryEntry *other = otherAtEndpoint(registry, announcement);
    if (other == nullptr || announcement.lifetime == Incarnation()
        || other->announcement.lifetime == Incarnation())
        return true;
    if (other->announcement.lifetime > announcement.lifetime)
        return false;
    markClaimed(registry, *other, now);
    addEvent(registry, RegistryEvent::Kind::EndpointClaimed, processOf(*other),
             { announcement.upstream, announcement.lifetime });
    ++registry.revision;
    return true;
}

void markClaimed(Registry &registry, RegistryEntry &entry, TimePoint now)
{
    entry.hold = EndpointHold::Claimed;
    entry.claimedAt = now;
    registry.contested.insert(entry.announcement.endpoint);
}

void noteAnswer(Registry &registry, const MemberId &process, TimePoint askedAt)
{
    const auto found = registry.entries.find(process.upstream);
    if (found == registry.entries.end()
        || found->second.announcement.lifetime != process.incarnation
        || !isContested(registry, found->second))
        return;
    RegistryEntry &entry = found->second;
    if (entry.hold == EndpointHold::Held) {
        settleClaims(registry, entry);
    } else if (entry.hold == EndpointHold::Claimed && askedAt >= entry.claimedAt) {
        refuteClaims(registry, entry);
        entry.hold = EndpointHold::Held;
        // Its announcements were ignored while the endpoint was claimed.
        entry.receivedAt = std::max(entry.receivedAt, askedAt);
        ++registry.revision;
    }
    pruneContests(registry);
}

bool isContested(const Registry &registry, const RegistryEntry &entry)
{
    return entry.hold != EndpointHold::Lost
        && registry.contested.contains(entry.announcement.endpoint);
}

void pruneContests(Registry &registry)
{
    if (registry.contested.empty())
        return;
    registry.contested.clear();
    for (const auto &[id, entry] : registry.entries) {
        if (entry.hold == EndpointHold::Claimed)
            registry.contested.insert(entry.announcement.endpoint);
    }
}

} // namespace shallotlever
