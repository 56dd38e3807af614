#pragma once

#include <functional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "shallotlever/base/time.h"
#include "shallotlever/types/fleet.h"
#include "shallotlever/upstream/connection.h"

namespace shallotlever {

/// Database user of control connections, which the platform does not count against the connection
/// limit.
inline constexpr std::string_view kControlUser = "shallotlever_control";

/// SQL statements of the control calls. Each returns one row with one text field,
/// `term,position,role,fenced_term`; $1 is the term.
struct ControlStatements
{
    std::string status = "SELECT shallotlever_status()";
    std::string fence = "SELECT shallotlever_fence($1)";
    std::string promote = "SELECT shallotlever_promote($1)";
};

/// Receives the status after the call or an error. DEADLINE_EXCEEDED or UNAVAILABLE: the call may
/// have taken effect and can be retried. FAILED_PRECONDITION: the database rejected the call.
/// INTERNAL: the answer is malformed.
using StatusCallback = std::function<void(absl::StatusOr<UpstreamStatus>)>;

/// Whether the right to make a call still holds. Asked when the call is about to leave the process,
/// which may be long after it was decided: a connection has to be opened, or the process stood
/// still.
using CallPermit = std::function<bool(TimePoint now)>;

/// Control calls to one database: status, fencing and promotion. Copies share one connection. Calls
/// run in order. Each callback is called exactly once, from the event loop of the thread that
/// created the struct, unless all copies are destroyed first.
struct UpstreamControl
{
    std::function<void(Duration timeout, StatusCallback)> status;
    std::function<void(Term, Duration timeout, StatusCallback)> fence;
    std::function<void(Term, Duration timeout, StatusCallback)> promote;
    /// stepDown and resume are set only for groups that confirm commits themselves (see
    /// ServiceConfig::confirmsCommits). In these groups `promote` takes an epoch instead of a term,
    /// and the status it returns says only that the promotion was accepted. At most one promotion
    /// is under way: a further one withdraws it, as does the destruction of all copies.
    std::function<void(Term, Duration timeout, StatusCallback)> stepDown;
    std::function<void(Duration timeout, StatusCallback)> resume;
};

/// Creates control calls that share a dedicated connection. It is opened by the first call and
/// reopened after a failure. `params.user` should be kControlUser.
UpstreamControl makeUpstreamControl(ConnectionParams params, ControlStatements statements = {});

/// Parses `term,position,role,fenced_term`.
absl::StatusOr<UpstreamStatus> parseUpstreamStatus(std::string_view text);

} // namespace shallotlever
