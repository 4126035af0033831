#include "base/signature.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace balsamdrift {

std::string sign(std::string_view payload, const std::string& secret)
{
    std::string signature(signature_bytes, '\0');
    unsigned length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(payload.data()), payload.size(),
         reinterpret_cast<unsigned char*>(signature.data()), &length);
    return signature;
}

bool verify_signature(std::string_view signature, std::string_view payload,
                      const std::string& secret)
{
    const std::string expected = sign(payload, secret);
    return signature.size() == expected.size() &&
           CRYPTO_memcmp(signature.data(), expected.data(), expected.size()) == 0;
}

bool verify_short_signature(std::string_view signature, std::string_view payload,
                            const std::string& secret)
{
    const std::string expected = sign(payload, secret);
    return signature.size() == short_signature_bytes &&
           CRYPTO_memcmp(signature.data(), expected.data(), short_signature_bytes) == 0;
}

}  // namespace balsamdrift
