#include "core/configuration_snapshot.h"

#include "core/crypto.h"

namespace snipefall {

bool configuration_snapshot::apply(const configuration_patch &patch)
{
    if (patch.baseVersion != version) {
        return false;
    }
    document.merge_patch(patch.merge);
    digest = sha256Hex(digest + canonicalJson(toJson(patch)));
    version = patch.version();
    return true;
}

json toJson(const configuration_snapshot &snapshot)
{
    return {{"version", snapshot.version.value()}, {"document", snapshot.document}, {"digest", snapshot.digest}};
}

outcome<configuration_snapshot> parseConfigurationSnapshot(const json &value)
{
    const auto member = [&](const char *key) { return value.is_object() && value.contains(key) ? value[key] : json(); };
    const json version = member("version");
    const json document = member("document");
    const json digest = member("digest");
    if (!version.is_number_unsigned() || !document.is_object() || !digest.is_string()) {
        return failure{error_code::invalid_argument, "a configuration snapshot needs version, document and digest"};
    }
    return configuration_snapshot{config_version(version.get<std::uint64_t>()), document, digest.get<std::string>()};
}

} // namespace snipefall
