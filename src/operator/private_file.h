#pragma once

#include <string>

#include "absl/status/status.h"

namespace shallotlever {

/// Creates a file of mode 0600 with one line and syncs it. Fails if the file exists.
absl::Status createPrivateFile(const std::string &path, const std::string &line);

/// Replaces the file, with mode 0600.
absl::Status replacePrivateFile(const std::string &path, const std::string &line);

} // namespace shallotlever
