#pragma once

#include "shallotlever/fleet/registry.h"

/// Which of several databases holds an endpoint.
///
/// A new database may use the endpoint of one that has ended, so a later process that announces an
/// endpoint claims it. An announcement proves nothing, as any sender may name the endpoint of a
/// running database. A process that answers a call under its id does hold its endpoint: this
/// settles a claim, either way. Until then the earlier process counts as a member that may confirm
/// commits, but gets no requests.
namespace shallotlever {

/// Notes that the announced process claims its endpoint, if another one has it. Returns false if
/// that one started later, which means that the announcement was delayed.
bool claimEndpoint(Registry &registry, const Announcement &announcement, TimePoint now);

/// Records that the process answered a call that was sent to its endpoint at `askedAt` and names
/// its id. It keeps the endpoint if it was claimed since, and the claim is forgotten. Processes
/// whose endpoint it had claimed have ended.
void noteAnswer(Registry &registry, const MemberId &process, TimePoint askedAt);

/// Notes that the endpoint of the entry is claimed, as claimEndpoint() does, for a claim that is
/// known from recorded state.
void markClaimed(Registry &registry, RegistryEntry &entry, TimePoint now);

/// Whether the upstream's endpoint is claimed, or claimed by the upstream.
bool isContested(const Registry &registry, const RegistryEntry &entry);

/// Forgets contests whose earlier process has been removed.
void pruneContests(Registry &registry);

} // namespace shallotlever
