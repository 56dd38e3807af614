#pragma once

#include <cstddef>
#include <string_view>

namespace shallotlever {

/// Length of the valid UTF-8 sequence at the start of `text`, which must not be empty, or 0.
/// Overlong forms, surrogates and code points above U+10FFFF are invalid.
std::size_t utf8SequenceLength(std::string_view text);

} // namespace shallotlever
