#pragma once

#include <functional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "shallotlever/base/time.h"
#include "shallotlever/types/fleet.h"
#include "shallotlever/upstream/connection.h"

namespace shallotlever {

/// User of control connections. The platform does not count them against the connection limit.
inline constexpr std::string_view kControlUser = "shallotlever_control";

/// The platform's names for the three calls. Each statement returns one row with one text field,
/// `term,position,role,fenced_term`; $1 is the term.
struct ControlStatements
{
    std::string status = "SELECT shallotlever_status()";
    std::string fence = "SELECT shallotlever_fence($1)";
    std::string promote = "SELECT shallotlever_promote($1)";
};

/// DEADLINE_EXCEEDED or UNAVAILABLE: the call may have taken effect and can be repeated.
/// FAILED_PRECONDITION: the database refused it. INTERNAL: the answer was not understood.
using StatusCallback = std::function<void(absl::StatusOr<UpstreamStatus>)>;

/// The three calls of the platform. Copies share one connection. Calls run in order; each callback
/// is called exactly once, from the event loop of the thread that made the struct, unless all
/// copies are destroyed first.
struct UpstreamControl
{
    std::function<void(Duration timeout, StatusCallback)> status;
    std::function<void(Term, Duration timeout, StatusCallback)> fence;
    std::function<void(Term, Duration timeout, StatusCallback)> promote;
    /// For groups that confirm commits themselves; empty otherwise. There, promote takes an epoch,
    /// and its status says only that the promotion was accepted.
    std::function<void(Term, Duration timeout, StatusCallback)> stepDown;
    std::function<void(Duration timeout, StatusCallback)> resume;
};

/// Calls over a connection of their own, opened on the first call and again after a failure.
/// `params.user` should be kControlUser.
UpstreamControl makeUpstreamControl(ConnectionParams params, ControlStatements statements = {});

/// Parses `term,position,role,fenced_term`.
absl::StatusOr<UpstreamStatus> parseUpstreamStatus(std::string_view text);

} // namespace shallotlever
