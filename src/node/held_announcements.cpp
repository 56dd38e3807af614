#include "held_announcements.h"

#include <utility>

namespace shallotlever {

namespace {

/// Whether `announcement` is older than `held`, or of a process that `held` says has ended.
bool isSuperseded(const Announcement &held, const Announcement &announcement)
{
    if (held.gone)
        return held.lifetime == Incarnation() || announcement.lifetime <= held.lifetime;
    if (announcement.lifetime != held.lifetime)
        return announcement.lifetime < held.lifetime;
    return !announcement.gone && announcement.sequence < held.sequence;
}

} // namespace

void holdAnnouncement(HeldAnnouncements &held, Announcement announcement, TimePoint now)
{
    const auto known = held.find(announcement.upstream);
    if (known != held.end()) {
        const Announcement &last = known->second.first;
        // Only a process that leaves deregisters; another message of this kind may be delayed.
        if (announcement.gone && announcement.lifetime == Incarnation() && last.leaving)
            announcement.lifetime = last.lifetime;
        if (isSuperseded(last, announcement))
            return;
    }
    const UpstreamId upstream = announcement.upstream;
    held.insert_or_assign(upstream, std::pair(std::move(announcement), now));
}

std::vector<HeardAnnouncement> takeAnnouncements(HeldAnnouncements &held, TimePoint now)
{
    std::vector<HeardAnnouncement> taken;
    for (const auto &[upstream, item] : std::exchange(held, {}))
        taken.push_back({ item.first, now - item.second });
    return taken;
}

} // namespace shallotlever
