#pragma once

#include "shallotlever/base/time.h"

namespace shallotlever {

/// Later than any other time: the due time of work that only an event can bring about.
inline constexpr TimePoint kNever = TimePoint::max();

} // namespace shallotlever
