#pragma once

#include <vector>

#include "shallotlever/fleet/confirmed_change.h"

/// Conditions on the members of a group during a change of primary (see confirmed_change.h).
namespace shallotlever {

bool answeredSince(const ConfirmedMember &member, TimePoint since);

bool isFormerPrimary(const ConfirmedInput &input, const UpstreamId &id);

/// Whether the process is the one that was put into office.
bool isInOffice(const ConfirmedInput &input, const ConfirmedMember &primary);

/// Returns whether the database neither makes commits nor accepts any from the former primary.
bool isFenced(const ConfirmedChange &change, const ConfirmedInput &input, const UpstreamId &id,
              const ConfirmedMember &member);

/// Returns the processes, the former primary among them, that may still accept its commits or that
/// took those that they confirmed with them.
std::vector<MemberId> unfencedProcesses(const ConfirmedChange &change, const ConfirmedInput &input);

/// Highest log end that any process of the group has reported.
HistoryPoint highestPoint(const ConfirmedInput &input);

/// Whether the database is expected to go on running: it is neither suspected nor leaving.
bool isUsable(const ConfirmedMember &member);

/// Returns the processes without which no database can be promoted: those that are unfenced, and
/// those that hold all commits but were refused lately.
std::vector<AwaitedProcess> awaitedProcesses(const ConfirmedChange &change,
                                             const ConfirmedInput &input);

} // namespace shallotlever
