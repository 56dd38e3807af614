#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <QDateTime>

#include "records.h"

namespace shallotlever::soak {

/// A line of a node's log.
struct LogEvent
{
    std::string name;
    RunTime at { 0 };
};

/// Sessions of callers that a stop closed.
struct ClosedSessions
{
    /// Closed with input that waited to be read.
    int unread = 0;
    /// Statements that arrived after the end of their session.
    int unanswered = 0;
};

/// What the log of a node says of a run; `startedAt` in readNodeLog() is the origin of its times.
struct NodeLog
{
    std::vector<Stall> stalls;
    /// Elected and resigned controllers, lost leases.
    std::vector<LogEvent> controlEvents;
    std::vector<ClosedSessions> closedSessions;
    /// Ids of the statements that arrived after the end of their session. The log has a limited
    /// rate, so some may be missing.
    std::set<std::string> unansweredStatements;
};

/// `node` is its name in stalls. Lines that can't be read are passed over.
NodeLog readNodeLog(const std::string &node, const std::string &logFile,
                    const QDateTime &startedAt);

/// Term in which the node whose log this is was elected controller last; 0 if it is none or has
/// stepped down.
std::uint64_t controlTermOf(const std::string &logFile);

} // namespace shallotlever::soak
