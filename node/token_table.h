#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/outcome.h"
#include "node/operator_role.h"

namespace snipefall {

/** The operators' tokens, of which only the SHA-256 digests are stored. */
class token_table
{
public:
    /** The operator whom a token identifies. */
    struct identity
    {
        std::string name;
        operator_role role = operator_role::read;
    };

    /** Creates a table without tokens: every request is authorized with the role write under the name "anonymous". */
    token_table() = default;

    /** Reads lines "role:name:sha256"; empty lines and lines that start with # are ignored. Fails with not_found if the file can't be read, or with
     * invalid_argument. */
    static outcome<token_table> load(const std::string &path);

    /** Returns the operator whom the value of an Authorization header identifies, or nothing if the token is not valid. */
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
