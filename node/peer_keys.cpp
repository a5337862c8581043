#include "node/peer_keys.h"

#include <fstream>

#include <sys/stat.h>

#include "core/hex.h"

namespace snipefall {

namespace {

constexpr std::size_t MIN_SECRET_BYTES = 16;

}

outcome<std::vector<peer_key>> loadPeerKeys(const std::string &path)
{
    struct stat status = {};
    std::ifstream file(path);
    if (!file || stat(path.c_str(), &status) != 0) {
        return failure{error_code::not_found, "can't read peer key file " + path};
    }
    if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
        return failure{error_code::permission_denied, "peer key file " + path + " must have mode 0600"};
    }
    std::vector<peer_key> keys;
    std::string line;
    while (std::getline(file, line)) {
        if (line.empty() || line[0] == '#') {
            continue;
        }
        const std::size_t colon = line.find(':');
        const std::optional<std::string> secret = colon == std::string::npos ? std::nullopt : fromHex(line.substr(colon + 1));
        if (!secret || colon == 0 || secret->size() < MIN_SECRET_BYTES) {
            return failure{error_code::invalid_argument, "peer key file " + path + ": a line must be \"id:hex\" with at least 32 digits"};
        }
        keys.push_back({line.substr(0, colon), *secret});
    }
    if (keys.empty() || keys.size() > 2) {
        return failure{error_code::invalid_argument, "peer key file " + path + " must hold one or two keys"};
    }
    return keys;
}

} // namespace snipefall
