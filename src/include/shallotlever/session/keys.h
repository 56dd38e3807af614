#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "shallotlever/types/config.h"

/// Keys of callers, operators and upstreams, in the text form `slk_<id>_<secret>`. Only the hash of
/// the secret is stored. Plain SHA-256 suffices, because the secret has 256 random bits and cannot
/// be found by trying likely values.
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
    /// The whole key. Shown to the operator once and not stored.
    std::string text;
};

/// Generates a key from OpenSSL's random source. Aborts the process if that fails.
GeneratedKey generateKey();

std::optional<ParsedKey> parseKey(std::string_view text);
KeyHash hashSecret(std::string_view secret);

/// Compares in constant time.
bool secretMatches(std::string_view secret, const KeyHash &hash);

/// Returns the configuration of the key in `text`, or nullptr if the key is malformed or unknown or
/// its secret does not match.
const KeyConfig *authenticate(std::string_view text, const std::map<KeyId, KeyConfig> &keys);

/// Returns a random 128-bit id as 32 hexadecimal digits.
std::string randomId();

} // namespace shallotlever
