#include "shallotlever/session/keys.h"

#include <array>
#include <cstdlib>

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include "absl/strings/escaping.h"

namespace shallotlever {

namespace {

constexpr std::string_view kKeyPrefix = "slk_";
constexpr std::size_t kKeyIdDigits = 16;
constexpr std::size_t kSecretDigits = 64;

std::string randomHex(std::size_t digits)
{
    std::string bytes(digits / 2, '\0');
    // Aborts if the random source fails: any fallback would yield guessable keys.
    if (RAND_bytes(reinterpret_cast<unsigned char *>(bytes.data()), static_cast<int>(bytes.size()))
        != 1)
        std::abort();
    return absl::BytesToHexString(bytes);
}

bool isHex(std::string_view text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

} // namespace

GeneratedKey generateKey()
{
    const std::string id = randomHex(kKeyIdDigits);
    const std::string secret = randomHex(kSecretDigits);
    return { KeyId(id), hashSecret(secret), std::string(kKeyPrefix) + id + "_" + secret };
}

std::optional<ParsedKey> parseKey(std::string_view text)
{
    if (text.size() != kKeyPrefix.size() + kKeyIdDigits + 1 + kSecretDigits
        || !text.starts_with(kKeyPrefix))
        return std::nullopt;
    text.remove_prefix(kKeyPrefix.size());
    const std::string_view id = text.substr(0, kKeyIdDigits);
    const std::string_view secret = text.substr(kKeyIdDigits + 1);
    if (text[kKeyIdDigits] != '_' || !isHex(id) || !isHex(secret))
        return std::nullopt;
    return ParsedKey { KeyId(std::string(id)), std::string(secret) };
}

KeyHash hashSecret(std::string_view secret)
{
    KeyHash hash {};
    SHA256(reinterpret_cast<const unsigned char *>(secret.data()), secret.size(), hash.data());
    return hash;
}

bool secretMatches(std::string_view secret, const KeyHash &hash)
{
    const KeyHash actual = hashSecret(secret);
    return CRYPTO_memcmp(actual.data(), hash.data(), hash.size()) == 0;
}

const KeyConfig *authenticate(std::string_view text, const std::map<KeyId, KeyConfig> &keys)
{
    const std::optional<ParsedKey> parsed = parseKey(text);
    if (!parsed)
        return nullptr;
    const auto key = keys.find(parsed->id);
    if (key == keys.end() || !secretMatches(parsed->secret, key->second.hash))
        return nullptr;
    return &key->second;
}

std::string randomId()
{
    return randomHex(32);
}

} // namespace shallotlever
