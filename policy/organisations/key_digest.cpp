#include "policy/organisations/key_digest.h"

#include <cstring>
#include <random>

#include "core/crypto.h"

namespace snipefall {

namespace {

constexpr std::size_t SECRET_WORDS = 8;

std::string drawSecret()
{
    std::random_device device;
    std::string secret;
    for (std::size_t i = 0; i < SECRET_WORDS; ++i) {
        const std::random_device::result_type word = device();
        secret.append(reinterpret_cast<const char *>(&word), sizeof(word));
    }
    return secret;
}

} // namespace

key_digest key_digest::of(std::string_view key)
{
    static const std::string s_secret = drawSecret();
    return key_digest(hmacSha256(s_secret, key));
}

bool key_digest::operator==(const key_digest &other) const
{
    return constantTimeEquals(m_bytes, other.m_bytes);
}

std::size_t key_digest::hash() const
{
    std::size_t part = 0;
    std::memcpy(&part, m_bytes.data(), sizeof(part));
    return part;
}

} // namespace snipefall
