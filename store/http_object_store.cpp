#include "store/http_object_store.h"

#include <algorithm>
#include <optional>
#include <string_view>

#include "store/object_store.h"

namespace snipefall {

static_assert(object_store<http_object_store>);

namespace {

constexpr std::size_t MAX_VALUE_BYTES = 1 << 20;
constexpr std::size_t MAX_KEY_BYTES = 512;

constexpr std::string_view HEX_DIGITS = "0123456789ABCDEF";

// Percent-encodes all but the unreserved characters of RFC 3986 and the slashes of a key.
std::string escape(std::string_view text)
{
    std::string escaped;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        const bool isUnreserved = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') || (byte >= '0' && byte <= '9')
            || std::string_view("-._~/").find(character) != std::string_view::npos;
        if (isUnreserved) {
            escaped += character;
        } else {
            escaped += '%';
            escaped += HEX_DIGITS[byte >> 4];
            escaped += HEX_DIGITS[byte & 15];
        }
    }
    return escaped;
}

// Percent signs are refused because cxxtools 3.0 decodes "%25" wrongly when another escape follows, which would name another object.
bool isValidKey(std::string_view key)
{
    return key.size() <= MAX_KEY_BYTES
        && std::none_of(key.begin(), key.end(), [](char c) { return c == '%' || static_cast<unsigned char>(c) < ' ' || c == '\x7f'; });
}

failure invalidKey(const std::string &key)
{
    return {error_code::invalid_argument, "a key has 1 to 512 bytes without percent signs and control characters: " + key};
}

std::string describe(const http_call_result &result)
{
    return result.status == transport_status::ok ? "the platform answered with status " + std::to_string(result.response.status)
                                                 : std::string(toString(result.status)) + ": " + result.message;
}

bool reportsNotRun(const http_call_result &result)
{
    const auto body = parseJson(result.response.body);
    return body && body->is_object() && body->contains("error") && jsonValue<std::string>((*body)["error"], "ran", "") == "not_run";
}

std::optional<object> parseObject(const json &document)
{
    const std::string key = jsonValue<std::string>(document, "key", "");
    const auto version = jsonValue<std::uint64_t>(document, "version", 0);
    if (key.empty() || version == 0 || !document.contains("value") || !document["value"].is_string()) {
        return std::nullopt;
    }
    return object{key, object_version(version), document["value"].get<std::string>()};
}

outcome<std::vector<object>> parseObjects(const json &document)
{
    if (!document.is_object() || !document.contains("objects") || !document["objects"].is_array()) {
        return failure{error_code::unavailable, "the platform's answer has no objects"};
    }
    std::vector<object> objects;
    for (const json &entry : document["objects"]) {
        std::optional<object> value = parseObject(entry);
        if (!value) {
            return failure{error_code::unavailable, "the platform's answer has a malformed object"};
        }
        objects.push_back(std::move(*value));
    }
    return objects;
}

failure writeFailure(const http_call_result &result)
{
    if (result.status != transport_status::ok) {
        return {result.mayHaveReachedServer ? error_code::unknown_result : error_code::unavailable, describe(result)};
    }
    switch (result.response.status) {
    case 409:
        return {error_code::conflict, "the object has another version: " + result.response.body};
    case 400:
    case 413:
        return {error_code::invalid_argument, describe(result)};
    case 429:
        return {reportsNotRun(result) ? error_code::overloaded : error_code::unknown_result, describe(result)};
    case 503:
        return {reportsNotRun(result) ? error_code::unavailable : error_code::unknown_result, describe(result)};
    default:
        return {error_code::unknown_result, describe(result)};
    }
}

} // namespace

http_object_store::http_object_store(http_object_store_options options)
    : m_options(std::move(options))
{
}

http_call http_object_store::newCall(const char *method, std::string target) const
{
    http_call call;
    call.address = m_options.address;
    call.method = method;
    call.target = std::move(target);
    call.connectTimeoutMs = m_options.connectTimeoutMs;
    call.timeoutMs = m_options.timeoutMs;
    return call;
}

outcome<json> http_object_store::get(const http_call &call) const
{
    const http_call_result result = executeHttpCall(call);
    if (result.status != transport_status::ok) {
        return failure{error_code::unavailable, describe(result)};
    }
    switch (result.response.status) {
    case 200:
        break;
    case 404:
        return failure{error_code::not_found, "not found: " + call.target};
    case 400:
        return failure{error_code::invalid_argument, describe(result)};
    case 429:
        return failure{error_code::overloaded, describe(result)};
    default:
        return failure{error_code::unavailable, describe(result)};
    }
    auto body = parseJson(result.response.body);
    if (!body) {
        return failure{error_code::unavailable, "the platform's answer is not valid JSON"};
    }
    return body;
}

outcome<object> http_object_store::read(call_purpose, const std::string &key)
{
    if (key.empty() || !isValidKey(key)) {
        return invalidKey(key);
    }
    const auto body = get(newCall("GET", "/objects/" + escape(key)));
    if (!body) {
        return body.reason();
    }
    std::optional<object> value = parseObject(*body);
    if (!value || value->key != key) {
        return failure{error_code::unavailable, "the platform's answer is not the object " + key};
    }
    return std::move(*value);
}

outcome<object_version> http_object_store::write(call_purpose, const std::string &key, std::string value, object_version expected)
{
    if (key.empty() || !isValidKey(key)) {
        return invalidKey(key);
    }
    if (value.size() > MAX_VALUE_BYTES) {
        return failure{error_code::invalid_argument, "the value of " + key + " is larger than 1 MB"};
    }
    http_call call = newCall("PUT", "/objects/" + escape(key));
    call.headers.push_back({"Content-Type", "application/json"});
    try {
        call.body = json({{"expected_version", expected.value()}, {"value", std::move(value)}}).dump();
    } catch (const json::exception &) {
        return failure{error_code::invalid_argument, "the value of " + key + " is not valid UTF-8"};
    }
    const http_call_result result = executeHttpCall(call);
    if (result.status != transport_status::ok || result.response.status != 200) {
        return writeFailure(result);
    }
    const auto body = parseJson(result.response.body);
    const auto version = body ? jsonValue<std::uint64_t>(*body, "version", 0) : 0;
    if (version == 0) {
        return failure{error_code::unknown_result, "the platform's answer to a write has no version"};
    }
    return object_version(version);
}

outcome<std::vector<object>> http_object_store::list(call_purpose, const std::string &prefix)
{
    if (!isValidKey(prefix)) {
        return invalidKey(prefix);
    }
    const auto body = get(newCall("GET", "/list?prefix=" + escape(prefix)));
    if (!body) {
        return body.reason();
    }
    return parseObjects(*body);
}

outcome<watch_result> http_object_store::watch(call_purpose, const std::string &prefix, std::uint64_t afterRevision, long timeoutMs)
{
    if (!isValidKey(prefix) || timeoutMs < 0) {
        return timeoutMs < 0 ? failure{error_code::invalid_argument, "the timeout is negative"} : invalidKey(prefix);
    }
    http_call call = newCall("GET", "/watch?prefix=" + escape(prefix) + "&after=" + std::to_string(afterRevision) + "&timeout_ms=" + std::to_string(timeoutMs));
    call.timeoutMs += timeoutMs;
    const auto body = get(call);
    if (!body) {
        return body.reason();
    }
    auto objects = parseObjects(*body);
    if (!objects) {
        return objects.reason();
    }
    if (!body->contains("revision") || !(*body)["revision"].is_number_unsigned()) {
        return failure{error_code::unavailable, "the platform's answer to a watch has no revision"};
    }
    return watch_result{(*body)["revision"].get<std::uint64_t>(), std::move(objects).value()};
}

outcome<std::vector<vm_entry>> http_object_store::listVms()
{
    const auto body = get(newCall("GET", "/vms"));
    if (!body) {
        return body.reason();
    }
    if (!body->is_array()) {
        return failure{error_code::unavailable, "the platform's list of VMs is not an array"};
    }
    std::vector<vm_entry> vms;
    for (const json &entry : *body) {
        vm_entry vm;
        vm.id = jsonValue<std::string>(entry, "id", "");
        vm.address = jsonValue<std::string>(entry, "address", "");
        vm.service = service_id(jsonValue<std::string>(entry, "service", ""));
        vm.version = version_id(jsonValue<std::string>(entry, "version", ""));
        vm.domain = failure_domain_id(jsonValue<std::string>(entry, "domain", ""));
        vm.state = jsonValue<std::string>(entry, "state", "");
        if (vm.id.empty() || vm.address.empty() || (vm.state != "live" && vm.state != "leaving")) {
            return failure{error_code::unavailable, "the platform's list of VMs has a malformed entry"};
        }
        vms.push_back(std::move(vm));
    }
    return vms;
}

} // namespace snipefall
