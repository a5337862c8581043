#pragma once

#include <array>
#include <cstddef>

namespace snipefall {

/** The kinds of store objects that every node follows. */
enum class store_kind : std::size_t
{
    configuration,
    backend_servers,
    excluded_domains,
    version_moves,
};

inline constexpr std::array<store_kind, 4> STORE_KINDS{
    store_kind::configuration, store_kind::backend_servers, store_kind::excluded_domains, store_kind::version_moves};

constexpr const char *toString(store_kind kind)
{
    switch (kind) {
    case store_kind::configuration:
        return "configuration";
    case store_kind::backend_servers:
        return "backend_servers";
    case store_kind::excluded_domains:
        return "excluded_domains";
    case store_kind::version_moves:
        return "version_moves";
    }
    return "";
}

} // namespace snipefall
