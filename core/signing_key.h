#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "core/outcome.h"

struct evp_pkey_st;

namespace snipefall {

/** An Ed25519 private key. The key itself is never printed or logged; people see its fingerprint. */
class signing_key
{
public:
    static outcome<signing_key> generate();
    /** Reads a PEM file; refuses one that others than its owner can read. */
    static outcome<signing_key> load(const std::string &path);
    /** Writes a new PEM file with mode 0600; an existing file is never replaced. */
    outcome<bool> save(const std::string &path) const;

    /** The signature as 128 hexadecimal digits. */
    std::string sign(std::string_view data) const;
    /** The raw public key as 64 hexadecimal digits. */
    std::string publicKey() const;
    /** The first 16 hexadecimal digits of the SHA-256 of the public key. */
    std::string fingerprint() const;

private:
    explicit signing_key(evp_pkey_st *key);

    std::shared_ptr<evp_pkey_st> m_key;
};

/** Whether @p signature (hexadecimal) over @p data was made with the private key of @p publicKey (hexadecimal). */
bool verifySignature(std::string_view publicKey, std::string_view data, std::string_view signature);

/** The fingerprint of a public key in hexadecimal. */
std::string keyFingerprint(std::string_view publicKey);

} // namespace snipefall
