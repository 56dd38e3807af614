#pragma once

#include "shallotlever/controller/controller.h"

namespace shallotlever {

/// Grants rate and connection shares in answer to a report, under a new share version.
const ShareSet &grantShares(ControllerState &controller, const NodeReport &report, TimePoint now);

} // namespace shallotlever
