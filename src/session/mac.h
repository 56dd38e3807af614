#pragma once

#include <string>
#include <string_view>

#include "shallotlever/session/token.h"

namespace shallotlever {

constexpr std::size_t kMacBytes = 32;

/// HMAC-SHA-256 of `content`, kMacBytes long.
std::string computeMac(std::string_view content, const SessionSecret &secret);

/// Compares in constant time. Returns false if the lengths differ.
bool macsEqual(std::string_view a, std::string_view b);

} // namespace shallotlever
