#include "node/configuration_messages.h"

namespace snipefall {

std::string encodeDelta(const configuration_delta &delta)
{
    json document = {{"patches", json::array()}};
    for (const configuration_patch &patch : delta.patches) {
        document["patches"].push_back(toJson(patch));
    }
    if (delta.snapshot) {
        document["snapshot"] = toJson(*delta.snapshot);
    }
    return document.dump();
}

outcome<configuration_delta> decodeDelta(const std::string &payload)
{
    const outcome<json> document = parseJson(payload);
    if (!document || !document->is_object()) {
        return failure{error_code::invalid_argument, "a configuration delta is not a JSON object"};
    }
    configuration_delta delta;
    for (const json &entry : document->value("patches", json::array())) {
        parsed<configuration_patch> patch = parseConfigurationPatch(entry);
        if (!patch.value) {
            return failure{error_code::invalid_argument, "a configuration delta holds a malformed patch"};
        }
        delta.patches.push_back(std::move(*patch.value));
    }
    if (document->contains("snapshot")) {
        outcome<configuration_snapshot> snapshot = parseConfigurationSnapshot((*document)["snapshot"]);
        if (!snapshot) {
            return snapshot.reason();
        }
        delta.snapshot = std::move(snapshot).value();
    }
    return delta;
}

} // namespace snipefall
