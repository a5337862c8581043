#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "core/outcome.h"

struct evp_pkey_st;

namespace snipefall {

/** An Ed25519 private key. The key itself is never printed or logged; it is identified by its fingerprint. */
class signing_key
{
public:
    static outcome<signing_key> generate();
    /**
     * Loads a key from a PEM file.
     *
     * Fails with not_found if the file can't be opened, permission_denied if its group or others have any permission on it, and invalid_argument if it holds no
     * Ed25519 private key.
     */
    static outcome<signing_key> load(const std::string &path);
    /** Creates a PEM file with mode 0600. Fails with conflict if the file can't be created, and internal if it can't be written; an existing file is never
     * replaced. */
    outcome<bool> save(const std::string &path) const;

    /** The signature of @p data as 128 hexadecimal digits. */
    std::string sign(std::string_view data) const;
    /** The raw public key as 64 hexadecimal digits. */
    std::string publicKey() const;
    /** The first 16 hexadecimal digits of the SHA-256 of the hexadecimal public key. */
    std::string fingerprint() const;

private:
    explicit signing_key(evp_pkey_st *key);

    std::shared_ptr<evp_pkey_st> m_key;
};

/** Whether @p signature is a valid signature of @p data under @p publicKey; both are hexadecimal. Malformed input is not valid. */
bool verifySignature(std::string_view publicKey, std::string_view data, std::string_view signature);

/** The fingerprint of a public key in hexadecimal. */
std::string keyFingerprint(std::string_view publicKey);

} // namespace snipefall
