#include "core/crypto.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "core/hex.h"

namespace snipefall {

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return toHex(std::string_view(reinterpret_cast<const char *>(digest.data()), size));
}

std::string hmacSha256(std::string_view key, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data(), &size);
    return std::string(reinterpret_cast<const char *>(digest.data()), size);
}

bool constantTimeEquals(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint64_t stableHash(std::string_view data)
{
    // FNV-1a with the finalizer of MurmurHash3, which spreads the low entropy of short ids over all bits.
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : data) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    }
    hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdULL;
    hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53ULL;
    return hash ^ (hash >> 33);
}

} // namespace snipefall
