#include "node/token_table.h"

#include <fstream>

#include "core/crypto.h"

namespace snipefall {

namespace {

constexpr std::string_view BEARER_PREFIX = "Bearer ";
constexpr std::size_t DIGEST_DIGITS = 64;

} // namespace

outcome<token_table> token_table::load(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return failure{error_code::not_found, "can't read token file " + path};
    }
    token_table table;
    table.m_required = true;
    std::string line;
    for (int number = 1; std::getline(file, line); ++number) {
        if (line.empty() || line[0] == '#') {
            continue;
        }
        const std::size_t first = line.find(':');
        const std::size_t last = line.rfind(':');
        const std::string role = line.substr(0, first);
        const std::string digest = line.substr(last + 1);
        if (first == std::string::npos || first == last || (role != "read" && role != "write") || digest.size() != DIGEST_DIGITS) {
            return failure{error_code::invalid_argument, path + ":" + std::to_string(number) + ": a line must be \"read|write:name:sha256\""};
        }
        const operator_role parsed = role == "write" ? operator_role::write : operator_role::read;
        table.m_entries.push_back({{line.substr(first + 1, last - first - 1), parsed}, digest});
    }
    return table;
}

std::optional<token_table::identity> token_table::identify(std::string_view authorization) const
{
    if (!m_required) {
        return identity{"anonymous", operator_role::write};
    }
    if (!authorization.starts_with(BEARER_PREFIX)) {
        return std::nullopt;
    }
    const std::string digest = sha256Hex(authorization.substr(BEARER_PREFIX.size()));
    std::optional<identity> found;
    // Compares all entries, so that the response time does not reveal which one matches.
    for (const entry &known : m_entries) {
        if (constantTimeEquals(known.digest, digest)) {
            found = known.who;
        }
    }
    return found;
}

} // namespace snipefall
