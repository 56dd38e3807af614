#pragma once

#include "shallotlever/base/time.h"

/// When callers whose statements were refused should come back.
///
/// Load pattern: a burst of which a large part is refused within a short time. Callers that are
/// told the same delay return as a second burst.
namespace shallotlever {

struct ReturnSchedule
{
    /// Turn of the next caller that is refused.
    TimePoint nextAt;
};

/// Gives the caller the next turn and returns the time until then. Turns follow each other at
/// `interval`, the time in which one statement is served.
Duration takeReturn(ReturnSchedule &schedule, Duration interval, TimePoint now);

} // namespace shallotlever
