#include "policy/organisations/usage_message.h"

#include "core/json.h"

namespace snipefall {

namespace {

failure malformed()
{
    return {error_code::invalid_argument, "malformed report of usage counts"};
}

std::string encode(const usage_message &message, const json &counts)
{
    return json::array({message.run.value(), message.sequence, message.window.value(), counts}).dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::vector<std::string> encodeUsageMessage(const usage_message &message, std::size_t maxBytes)
{
    std::vector<std::string> payloads;
    json counts = json::object();
    std::size_t bytes = encode(message, counts).size();
    for (const auto &[organisation, count] : message.counts) {
        const std::size_t added = json(organisation.str()).dump(-1, ' ', false, json::error_handler_t::replace).size() + std::to_string(count).size() + 2;
        if (!counts.empty() && bytes + added > maxBytes) {
            payloads.push_back(encode(message, counts));
            counts = json::object();
            bytes = encode(message, counts).size();
        }
        counts[organisation.str()] = count;
        bytes += added;
    }
    if (!counts.empty()) {
        payloads.push_back(encode(message, counts));
    }
    return payloads;
}

outcome<usage_message> decodeUsageMessage(const std::string &payload)
{
    const outcome<json> document = parseJson(payload);
    if (!document || !document->is_array() || document->size() != 4 || !(*document)[3].is_object()) {
        return malformed();
    }
    for (std::size_t i = 0; i < 3; ++i) {
        if (!(*document)[i].is_number_unsigned()) {
            return malformed();
        }
    }
    usage_message message;
    message.run = incarnation((*document)[0].get<std::uint64_t>());
    message.sequence = (*document)[1].get<std::uint64_t>();
    message.window = usage_window((*document)[2].get<std::uint64_t>());
    for (const auto &[organisation, count] : (*document)[3].items()) {
        if (!count.is_number_unsigned()) {
            return malformed();
        }
        message.counts[organisation_id(organisation)] = count.get<std::uint64_t>();
    }
    return message;
}

} // namespace snipefall
