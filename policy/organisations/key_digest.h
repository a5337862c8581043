#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace snipefall {

/** Keyed hash of an API key. The key itself is not kept, and the hash is of no use outside of this process. */
class key_digest
{
public:
    /** The digest of @p key under a secret that the process draws at its first use. */
    static key_digest of(std::string_view key);

    /** Compares in a time that does not depend on the contents. */
    bool operator==(const key_digest &other) const;
    /** A part of the digest, for hash tables. */
    std::size_t hash() const;

private:
    explicit key_digest(std::string bytes)
        : m_bytes(std::move(bytes))
    {
    }

    std::string m_bytes;
};

} // namespace snipefall

template <>
struct std::hash<snipefall::key_digest>
{
    std::size_t operator()(const snipefall::key_digest &digest) const { return digest.hash(); }
};
