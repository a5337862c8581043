#include "core/signing_key.h"

#include <array>
#include <cstdio>
#include <vector>

#include <fcntl.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <sys/stat.h>
#include <unistd.h>

#include "core/crypto.h"
#include "core/hex.h"
#include "core/invariant.h"

namespace snipefall {

namespace {

constexpr std::size_t KEY_BYTES = 32;
constexpr std::size_t SIGNATURE_BYTES = 64;

struct file_closer
{
    void operator()(std::FILE *file) const { std::fclose(file); }
};

using file_pointer = std::unique_ptr<std::FILE, file_closer>;
using digest_context = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

const unsigned char *bytesOf(std::string_view data)
{
    return reinterpret_cast<const unsigned char *>(data.data());
}

} // namespace

signing_key::signing_key(evp_pkey_st *key)
    : m_key(key, &EVP_PKEY_free)
{
}

outcome<signing_key> signing_key::generate()
{
    EVP_PKEY *key = EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519");
    if (key == nullptr) {
        return failure{error_code::internal, "OpenSSL can't generate an Ed25519 key"};
    }
    return signing_key(key);
}

outcome<signing_key> signing_key::load(const std::string &path)
{
    const file_pointer file(std::fopen(path.c_str(), "r"));
    if (!file) {
        return failure{error_code::not_found, "can't read key file " + path};
    }
    struct stat status = {};
    if (fstat(fileno(file.get()), &status) != 0 || (status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
        return failure{error_code::permission_denied, "key file " + path + " must have mode 0600"};
    }
    EVP_PKEY *key = PEM_read_PrivateKey(file.get(), nullptr, nullptr, nullptr);
    if (key == nullptr || EVP_PKEY_get_base_id(key) != EVP_PKEY_ED25519) {
        EVP_PKEY_free(key);
        return failure{error_code::invalid_argument, path + " holds no Ed25519 private key"};
    }
    return signing_key(key);
}

outcome<bool> signing_key::save(const std::string &path) const
{
    const int descriptor = open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL, S_IRUSR | S_IWUSR);
    if (descriptor < 0) {
        return failure{error_code::conflict, "can't create key file " + path + "; an existing file is never replaced"};
    }
    const file_pointer file(fdopen(descriptor, "w"));
    if (!file || PEM_write_PrivateKey(file.get(), m_key.get(), nullptr, nullptr, 0, nullptr, nullptr) != 1) {
        return failure{error_code::internal, "can't write key file " + path};
    }
    return true;
}

std::string signing_key::sign(std::string_view data) const
{
    const digest_context context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    std::array<unsigned char, SIGNATURE_BYTES> signature{};
    std::size_t size = signature.size();
    const bool signedData = EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, m_key.get()) == 1
        && EVP_DigestSign(context.get(), signature.data(), &size, bytesOf(data), data.size()) == 1;
    SNIPEFALL_INVARIANT(signedData && size == SIGNATURE_BYTES, "OpenSSL failed to sign with an Ed25519 key");
    return toHex(std::string_view(reinterpret_cast<const char *>(signature.data()), size));
}

std::string signing_key::publicKey() const
{
    std::array<unsigned char, KEY_BYTES> key{};
    std::size_t size = key.size();
    const bool read = EVP_PKEY_get_raw_public_key(m_key.get(), key.data(), &size) == 1;
    SNIPEFALL_INVARIANT(read && size == KEY_BYTES, "OpenSSL failed to read the public key of an Ed25519 key");
    return toHex(std::string_view(reinterpret_cast<const char *>(key.data()), size));
}

std::string signing_key::fingerprint() const
{
    return keyFingerprint(publicKey());
}

std::string keyFingerprint(std::string_view publicKey)
{
    return sha256Hex(publicKey).substr(0, 16);
}

bool verifySignature(std::string_view publicKey, std::string_view data, std::string_view signature)
{
    const std::optional<std::string> keyBytes = fromHex(publicKey);
    const std::optional<std::string> signatureBytes = fromHex(signature);
    if (!keyBytes || keyBytes->size() != KEY_BYTES || !signatureBytes || signatureBytes->size() != SIGNATURE_BYTES) {
        return false;
    }
    const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, bytesOf(*keyBytes), keyBytes->size()),
                                                                  &EVP_PKEY_free);
    const digest_context context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    return key && EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1
        && EVP_DigestVerify(context.get(), bytesOf(*signatureBytes), signatureBytes->size(), bytesOf(data), data.size()) == 1;
}

} // namespace snipefall
