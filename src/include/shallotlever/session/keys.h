#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "shallotlever/types/config.h"

/// Keys of callers, operators and upstreams: text form `slk_<id>_<secret>`. Only the hash of the
/// secret is stored. The secret has 256 random bits, so a plain SHA-256 suffices.
namespace shallotlever {

struct ParsedKey
{
    KeyId id;
    /// 64 hexadecimal digits.
    std::string secret;
};

struct GeneratedKey
{
    KeyId id;
    KeyHash hash {};
    /// Shown to the operator once.
    std::string text;
};

/// Makes a key from the system's random source.
GeneratedKey generateKey();

std::optional<ParsedKey> parseKey(std::string_view text);
KeyHash hashSecret(std::string_view secret);

/// Compares in constant time.
bool secretMatches(std::string_view secret, const KeyHash &hash);

/// The key's entry if the text names a known key and its secret matches, else nullptr.
const KeyConfig *authenticate(std::string_view text, const std::map<KeyId, KeyConfig> &keys);

/// A random id of 128 bits, as 32 hexadecimal digits.
std::string randomId();

} // namespace shallotlever
