#include "store/configuration_keys.h"

#include <fmt/format.h>

namespace snipefall {

namespace {

constexpr std::size_t BLOCK_DIGITS = 2;

}

std::string configurationLogKey(config_version version)
{
    return fmt::format("{}{:012}", CONFIGURATION_LOG_PREFIX, version.value());
}

std::string configurationLogBlockPrefix(config_version version)
{
    std::string key = configurationLogKey(version);
    key.resize(key.size() - BLOCK_DIGITS);
    return key;
}

outcome<configuration_patch> parseConfigurationLogEntry(const object &entry)
{
    const auto value = parseJson(entry.value);
    auto patch = value ? parseConfigurationPatch(*value) : parsed<configuration_patch>();
    if (!patch.value || configurationLogKey(patch.value->version()) != entry.key) {
        return failure{error_code::internal, "the log entry " + entry.key + " is corrupt"};
    }
    return std::move(*patch.value);
}

} // namespace snipefall
