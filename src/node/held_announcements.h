#pragma once

#include <map>
#include <vector>

#include "shallotlever/fleet/messages.h"

/// Announcements of upstreams that the next report carries to the controller. Sans-I/O.
namespace shallotlever {

/// The latest announcement of each upstream since the last report, and when it was received.
using HeldAnnouncements = std::map<UpstreamId, std::pair<Announcement, TimePoint>>;

/// Keeps the announcement unless a later one is kept. A final announcement without a lifetime,
/// which a database sends that doesn't say when it started, ends the process whose announcement is
/// kept.
void holdAnnouncement(HeldAnnouncements &held, Announcement announcement, TimePoint now);

/// Takes out the announcements, with their age.
std::vector<HeardAnnouncement> takeAnnouncements(HeldAnnouncements &held, TimePoint now);

} // namespace shallotlever
