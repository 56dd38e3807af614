#pragma once

#include <cstdint>
#include <string>

namespace shallotlever::soak {

/// Term in which the node whose log this is was elected controller last; 0 if it is none or has
/// stepped down.
std::uint64_t controlTermOf(const std::string &logFile);

} // namespace shallotlever::soak
