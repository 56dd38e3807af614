#pragma once

#include "shallotlever/base/strong_type.h"

namespace shallotlever {

/// A VM that runs shallotleverd.
using NodeId = Id<struct NodeIdTag>;
using TeamId = Id<struct TeamIdTag>;
/// A service and its one group of databases.
using ServiceId = Id<struct ServiceIdTag>;
/// One database process.
using UpstreamId = Id<struct UpstreamIdTag>;
using DataCentreId = Id<struct DataCentreIdTag>;
using RegionId = Id<struct RegionIdTag>;
/// Public part of a caller's key; the secret part is kept as a hash only.
using KeyId = Id<struct KeyIdTag>;
using RouteId = Id<struct RouteIdTag>;
/// Name of a database that callers connect to; belongs to one service.
using DatabaseName = Id<struct DatabaseNameTag>;
using PresetId = Id<struct PresetIdTag>;
using SessionId = Id<struct SessionIdTag>;
using TransactionId = Id<struct TransactionIdTag>;
/// Chosen by the operator's client; a resend carries the same one.
using ChangeId = Id<struct ChangeIdTag>;

/// Term of a database group's history. Reserved by the control log, never reused.
using Term = Number<struct TermTag>;
/// Length of a database's log within the history of its term.
using LogPosition = Number<struct LogPositionTag>;
/// Version of the replicated configuration. Grows by one with each accepted change.
using ConfigVersion = Number<struct ConfigVersionTag>;
/// Number that an operator gives to a whole configuration; the highest one takes effect.
using InstallNumber = Number<struct InstallNumberTag>;
/// Differs for each start of a process.
using Incarnation = Number<struct IncarnationTag>;
/// Term of the control group's own log (elections), unrelated to Term.
using ControlTerm = Number<struct ControlTermTag>;
/// Index of an entry in the control group's log, from 1.
using LogIndex = Number<struct LogIndexTag>;

/// A point in a database group's history; compares by term, then position.
struct HistoryPoint
{
    Term term;
    LogPosition position;

    friend auto operator<=>(const HistoryPoint &, const HistoryPoint &) = default;
};

} // namespace shallotlever
