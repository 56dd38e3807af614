#include "mac.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace shallotlever {

std::string computeMac(std::string_view content, const SessionSecret &secret)
{
    std::string mac(kMacBytes, '\0');
    unsigned int size = kMacBytes;
    HMAC(EVP_sha256(), secret.bytes.data(), static_cast<int>(secret.bytes.size()),
         reinterpret_cast<const unsigned char *>(content.data()), content.size(),
         reinterpret_cast<unsigned char *>(mac.data()), &size);
    return mac;
}

bool macsEqual(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace shallotlever
