#include "tests/stand_ins/stand_in_platform.h"

#include <algorithm>
#include <charconv>

#include "tests/stand_ins/stand_in_replies.h"

namespace snipefall {

namespace {

// Each pending watch occupies one server thread.
constexpr unsigned SERVER_THREADS = 256;
constexpr std::size_t MAX_VALUE_BYTES = 1 << 20;
// JSON encodes one byte of a value in at most six characters.
constexpr std::size_t MAX_BODY_BYTES = 6 * MAX_VALUE_BYTES + 4096;
constexpr long MAX_WATCH_MS = 60000;
constexpr const char *OBJECTS_PATH = "/objects/";

json toJson(const object &value)
{
    return {{"key", value.key}, {"version", value.version.value()}, {"value", value.value}};
}

json toJson(const std::vector<object> &objects)
{
    json array = json::array();
    for (const object &value : objects) {
        array.push_back(toJson(value));
    }
    return array;
}

http_response toResponse(const failure &reason)
{
    switch (reason.code) {
    case error_code::not_found:
        return errorReply(404, "not_found", reason.message);
    case error_code::unavailable:
        return errorReply(503, "unavailable", reason.message);
    default:
        return errorReply(500, std::string(toString(reason.code)), reason.message, "unknown");
    }
}

bool parseNumber(const std::string &text, std::uint64_t &number)
{
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

bool parseVm(const json &document, vm_entry &vm)
{
    if (!document.is_object()) {
        return false;
    }
    vm.id = jsonValue<std::string>(document, "id", "");
    vm.address = jsonValue<std::string>(document, "address", "");
    vm.service = service_id(jsonValue<std::string>(document, "service", ""));
    vm.version = version_id(jsonValue<std::string>(document, "version", ""));
    vm.domain = failure_domain_id(jsonValue<std::string>(document, "domain", ""));
    vm.state = jsonValue<std::string>(document, "state", "live");
    return !vm.id.empty() && !vm.address.empty() && (vm.state == "live" || vm.state == "leaving");
}

} // namespace

stand_in_platform::stand_in_platform(const std::string &address, unsigned short port)
    : m_address(address)
    , m_port(port)
{
}

stand_in_platform::~stand_in_platform()
{
    stop();
}

std::string stand_in_platform::start()
{
    http_server_options options;
    options.address = m_address;
    options.port = m_port;
    options.maxThreads = SERVER_THREADS;
    options.maxBodyBytes = MAX_BODY_BYTES;
    m_server = std::make_unique<http_server>(options, [this](const http_request &request) { return handle(request); });
    return m_server->start();
}

void stand_in_platform::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_stopRequested.notify_all();
    }
    m_store.setDown(true);
    if (m_server) {
        m_server->stop();
    }
}

http_response stand_in_platform::handle(const http_request &request)
{
    if (request.path != "/control") {
        return route(request);
    }
    if (request.method == "GET") {
        return jsonReply(state());
    }
    const auto switches = parseJson(request.body);
    if (!switches) {
        return errorReply(400, "invalid_argument", switches.reason().message);
    }
    const std::string refusal = control(*switches);
    return refusal.empty() ? jsonReply(state()) : errorReply(400, "invalid_argument", refusal);
}

http_response stand_in_platform::route(const http_request &request)
{
    const bool isGet = request.method == "GET";
    const bool isPut = request.method == "PUT";
    if (request.path == "/vms" && isPut) {
        return putVms(request.body);
    }
    const bool isObject = request.path.starts_with(OBJECTS_PATH) && request.path.size() > std::char_traits<char>::length(OBJECTS_PATH);
    const std::string key = isObject ? request.path.substr(std::char_traits<char>::length(OBJECTS_PATH)) : "";
    const char *kind = isObject && isGet ? "read"
        : isObject && isPut              ? "write"
        : request.path == "/list"        ? "list"
        : request.path == "/watch"       ? "watch"
        : request.path == "/vms"         ? "vms"
                                         : nullptr;
    if (kind == nullptr || (!isGet && !isObject)) {
        return errorReply(404, "not_found", "no route " + request.method + " " + request.path);
    }
    if (!admit(kind)) {
        return errorReply(503, "unavailable", "the platform is down");
    }
    if (isObject) {
        return isGet ? readObject(key) : writeObject(key, request.body);
    }
    if (request.path == "/list") {
        return listObjects(request.parameter("prefix"));
    }
    return request.path == "/watch" ? watchObjects(request) : getVms();
}

http_response stand_in_platform::readObject(const std::string &key)
{
    const auto value = m_store.read(call_purpose::configuration, key);
    return value ? jsonReply(toJson(*value)) : toResponse(value.reason());
}

http_response stand_in_platform::writeObject(const std::string &key, const std::string &body)
{
    const auto document = parseJson(body);
    if (!document) {
        return errorReply(400, "invalid_argument", document.reason().message);
    }
    const json &fields = *document;
    if (!fields.is_object() || !fields.contains("expected_version") || !fields["expected_version"].is_number_unsigned() || !fields.contains("value")
        || !fields["value"].is_string()) {
        return errorReply(400, "invalid_argument", "the body must be {\"expected_version\": unsigned number, \"value\": string}");
    }
    std::string value = fields["value"].get<std::string>();
    if (value.size() > MAX_VALUE_BYTES) {
        return errorReply(413, "invalid_argument", "the value is larger than 1 MB");
    }
    const object_version expected(fields["expected_version"].get<std::uint64_t>());
    const auto written = m_store.write(call_purpose::configuration, key, std::move(value), expected);
    http_response response;
    if (written) {
        response = jsonReply({{"version", written->value()}});
    } else if (written.reason().code == error_code::conflict) {
        const auto current = m_store.read(call_purpose::configuration, key);
        response = jsonReply({{"version", current ? current->version.value() : 0}}, 409);
    } else {
        return toResponse(written.reason());
    }
    response.closeWithoutResponse = written && loseResponse();
    return response;
}

http_response stand_in_platform::listObjects(const std::string &prefix)
{
    const auto objects = m_store.list(call_purpose::configuration, prefix);
    return objects ? jsonReply({{"objects", toJson(*objects)}}) : toResponse(objects.reason());
}

http_response stand_in_platform::watchObjects(const http_request &request)
{
    std::uint64_t after = 0;
    std::uint64_t timeoutMs = 0;
    if (!parseNumber(request.parameter("after"), after) || !parseNumber(request.parameter("timeout_ms"), timeoutMs)) {
        return errorReply(400, "invalid_argument", "after and timeout_ms must be unsigned numbers");
    }
    const long wait = static_cast<long>(std::min<std::uint64_t>(timeoutMs, MAX_WATCH_MS));
    const auto result = m_store.watch(call_purpose::configuration, request.parameter("prefix"), after, wait);
    return result ? jsonReply({{"revision", result->revision}, {"objects", toJson(result->objects)}}) : toResponse(result.reason());
}

http_response stand_in_platform::putVms(const std::string &body)
{
    const auto document = parseJson(body);
    if (!document || !document->is_array()) {
        return errorReply(400, "invalid_argument", "the body must be a JSON array of VMs");
    }
    std::vector<vm_entry> vms;
    for (const json &entry : *document) {
        vm_entry vm;
        if (!parseVm(entry, vm)) {
            return errorReply(400, "invalid_argument", "malformed VM: " + entry.dump(-1, ' ', false, json::error_handler_t::replace));
        }
        vms.push_back(std::move(vm));
    }
    const std::lock_guard lock(m_mutex);
    m_pendingVmLists.emplace_back(system_clock().now() + std::chrono::milliseconds(m_vmListLagMs), std::move(vms));
    return jsonReply({{"visible_after_ms", m_vmListLagMs}});
}

http_response stand_in_platform::getVms()
{
    {
        const std::lock_guard lock(m_mutex);
        const time_point now = system_clock().now();
        while (!m_pendingVmLists.empty() && m_pendingVmLists.front().first <= now) {
            m_store.setVms(std::move(m_pendingVmLists.front().second));
            m_pendingVmLists.erase(m_pendingVmLists.begin());
        }
    }
    const auto vms = m_store.listVms();
    if (!vms) {
        return toResponse(vms.reason());
    }
    json array = json::array();
    for (const vm_entry &vm : *vms) {
        array.push_back({{"id", vm.id},
                         {"address", vm.address},
                         {"service", vm.service.str()},
                         {"version", vm.version.str()},
                         {"domain", vm.domain.str()},
                         {"state", vm.state}});
    }
    return jsonReply(array);
}

bool stand_in_platform::admit(const char *kind)
{
    std::unique_lock lock(m_mutex);
    ++m_calls[kind];
    if (!m_down && m_callDelayMs > 0) {
        m_stopRequested.wait_for(lock, std::chrono::milliseconds(m_callDelayMs), [this] { return m_stopping; });
    }
    if (m_down) {
        ++m_calls["refused"];
    }
    return !m_down;
}

bool stand_in_platform::loseResponse()
{
    std::unique_lock lock(m_mutex);
    if (m_responsesToLose == 0) {
        return false;
    }
    --m_responsesToLose;
    ++m_responsesLost;
    m_stopRequested.wait_for(lock, std::chrono::milliseconds(m_lostResponseDelayMs), [this] { return m_stopping; });
    // With a delay set, the response is still sent, but only after the delay, when the caller has already given up waiting.
    return m_lostResponseDelayMs == 0;
}

std::string stand_in_platform::control(const json &switches)
{
    if (!switches.is_object()) {
        return "the switches must be a JSON object";
    }
    const std::lock_guard lock(m_mutex);
    const std::map<std::string, long *> numbers = {{"slow_ms", &m_callDelayMs},
                                                   {"lose_answers", &m_responsesToLose},
                                                   {"lost_answer_delay_ms", &m_lostResponseDelayMs},
                                                   {"vm_list_lag_ms", &m_vmListLagMs}};
    for (const auto &[name, value] : switches.items()) {
        const bool isValid = name == "down" ? value.is_boolean() : numbers.contains(name) && value.is_number_integer() && value.get<std::int64_t>() >= 0;
        if (!isValid) {
            return "unknown switch or wrong type: " + name;
        }
    }
    for (const auto &[name, value] : switches.items()) {
        if (name == "down") {
            m_down = value.get<bool>();
            m_store.setDown(m_down || m_stopping);
        } else {
            *numbers.at(name) = value.get<long>();
        }
    }
    return {};
}

json stand_in_platform::state() const
{
    const std::lock_guard lock(m_mutex);
    return {{"down", m_down},
            {"slow_ms", m_callDelayMs},
            {"lose_answers", m_responsesToLose},
            {"lost_answer_delay_ms", m_lostResponseDelayMs},
            {"vm_list_lag_ms", m_vmListLagMs},
            {"answers_lost", m_responsesLost},
            {"calls", m_calls}};
}

} // namespace snipefall
