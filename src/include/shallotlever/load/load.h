#pragma once

#include <string>
#include <vector>

namespace shallotlever {

/// Runs the command `shallotlever load` with the arguments that follow that word. Needs a
/// QCoreApplication. Returns the exit status: 0 without violations, 1 with at least one, 2 for
/// unusable arguments or files.
int runLoad(const std::vector<std::string> &arguments);

} // namespace shallotlever
