#pragma once

#include <string>
#include <string_view>

#include "shallotlever/session/token.h"

namespace shallotlever {

constexpr std::size_t kMacBytes = 32;

/// HMAC-SHA-256, kMacBytes long.
std::string macOf(std::string_view content, const SessionSecret &secret);

/// Compares in constant time; false for different lengths.
bool sameMac(std::string_view a, std::string_view b);

} // namespace shallotlever
