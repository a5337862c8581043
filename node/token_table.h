#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/outcome.h"
#include "node/operator_role.h"

namespace snipefall {

/** The operators' tokens; only their SHA-256 is kept. */
class token_table
{
public:
    /** An operator whom a token names. */
    struct identity
    {
        std::string name;
        operator_role role = operator_role::read;
    };

    /** Without tokens every operator may do everything, under the name "anonymous". */
    token_table() = default;

    /** Reads lines "role:name:sha256"; empty lines and lines that start with # are passed over. */
    static outcome<token_table> load(const std::string &path);

    /** Who sent the value of an Authorization header, or nothing. */
    std::optional<identity> identify(std::string_view authorization) const;

private:
    struct entry
    {
        identity who;
        std::string digest;
    };

    bool m_required = false;
    std::vector<entry> m_entries;
};

} // namespace snipefall
