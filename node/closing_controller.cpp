#include "node/closing_controller.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

#include "core/clock.h"
#include "core/configuration_replica.h"
#include "core/crypto.h"
#include "core/logger.h"
#include "node/account_keeper.h"
#include "node/peer_controller.h"
#include "policy/move_record.h"
#include "policy/service_report.h"
#include "policy/signed_report.h"

namespace snipefall {

namespace {

// Allows for one write to the platform: the node that is checked saves its account before it responds.
constexpr duration CHECK_TIMEOUT = std::chrono::seconds(3);
constexpr std::size_t CHECK_THREADS = 8;
// One call normally advances from refusing to collecting. The bound ends the loop if operators keep reopening the service.
constexpr int MAX_STEPS_PER_CALL = 6;

std::string publishedKey(const service_id &service)
{
    return "reports/" + service.str();
}

std::string collectedKey(const service_id &service)
{
    return "collected/" + service.str();
}

json waitingResponse(const closing_record &record, const json &nodes)
{
    return {{"service", record.service.str()}, {"state", toString(record.state)}, {"waiting_for", nodes}};
}

} // namespace

closing_controller::closing_controller(node_id self, const configuration_replica &replica, peer_controller &peers, account_keeper &accounts, calls callbacks)
    : m_self(std::move(self))
    , m_replica(replica)
    , m_peers(peers)
    , m_accounts(accounts)
    , m_callbacks(std::move(callbacks))
{
    m_peers.registerHandler(peer_exchange_kind::closing_check, [this](const peer_message &request) -> outcome<std::string> {
        const outcome<json> checkRequest = parseJson(request.payload);
        if (!checkRequest) {
            return checkRequest.reason();
        }
        return finalizeOwnAccount(service_id(jsonValue<std::string>(*checkRequest, "service", "")),
                                  config_version(jsonValue<std::uint64_t>(*checkRequest, "configuration_version", 0)));
    });
}

outcome<json> closing_controller::close(const service_id &service, const std::string &author, const std::string &reason)
{
    const outcome<object> existing = m_callbacks.read(publishedKey(service));
    if (existing) {
        return publishedResponse(service, existing->value);
    }
    if (existing.reason().code != error_code::not_found) {
        return existing.reason();
    }
    outcome<stored_record> current = loadOrCreate(service, author, reason);
    for (int step = 0; current && step < MAX_STEPS_PER_CALL; ++step) {
        const closing_record &record = current->record;
        if (record.state == closing_state::refusing) {
            if (const std::string problem = refuseNewRequests(record); !problem.empty()) {
                return waitingResponse(record, json::array({{{"node", m_self.str()}, {"reason", problem}}}));
            }
            current = advance(*current, closing_state::draining);
        } else if (record.state == closing_state::draining) {
            if (isOpen(service)) {
                current = advance(*current, closing_state::refusing);
                continue;
            }
            json nodes = findPendingNodes(record);
            if (!nodes.empty()) {
                return waitingResponse(record, nodes);
            }
            current = advance(*current, closing_state::collecting);
        } else {
            outcome<json> collected = collect(record);
            if (!collected) {
                return collected;
            }
            json answer = waitingResponse(record, json::array());
            answer["collected"] = std::move(collected).value();
            return answer;
        }
    }
    return current ? waitingResponse(current->record, json::array()) : outcome<json>(current.reason());
}

outcome<closing_controller::stored_record> closing_controller::load(const service_id &service) const
{
    const outcome<object> found = m_callbacks.read(closingKey(service));
    if (!found) {
        return found.reason();
    }
    const outcome<json> document = parseJson(found->value);
    const outcome<closing_record> record = document ? parseClosingRecord(*document) : outcome<closing_record>(document.reason());
    return record ? outcome<stored_record>(stored_record{*record, found->version}) : outcome<stored_record>(record.reason());
}

outcome<closing_controller::stored_record> closing_controller::loadOrCreate(const service_id &service, const std::string &author, const std::string &reason)
{
    outcome<stored_record> existing = load(service);
    if (existing || existing.reason().code != error_code::not_found) {
        return existing;
    }
    if (m_replica.current()->services.count(service) == 0) {
        return failure{error_code::not_found, "no service " + service.str()};
    }
    const outcome<closing_record> first = startClosing(service, author, reason, {closing_state::refusing, wallClockMs(), m_self});
    return first ? store(*first, object_version()) : outcome<stored_record>(first.reason());
}

outcome<closing_controller::stored_record> closing_controller::advance(const stored_record &from, closing_state next, const std::string &reportHash)
{
    outcome<closing_record> record = advanceClosing(from.record, {next, wallClockMs(), m_self});
    if (!record) {
        return record.reason();
    }
    record.value().reportHash = reportHash;
    if (next == closing_state::draining) {
        record.value().configuration = m_replica.position().version;
    }
    return store(*record, from.version);
}

outcome<closing_controller::stored_record> closing_controller::store(const closing_record &record, object_version expected)
{
    const outcome<object_version> written = m_callbacks.write(closingKey(record.service), toJson(record).dump(), expected);
    if (written) {
        logInfo("closing.step", {{"service", record.service.str()}, {"state", std::string(toString(record.state))}});
        m_callbacks.observe(record, record.reason);
        return stored_record{record, *written};
    }
    if (written.reason().code != error_code::conflict && written.reason().code != error_code::unknown_result) {
        return written.reason();
    }
    // Another node updated the record, or the response to this write was lost. Returns the stored record, from which the closing continues.
    return load(record.service);
}

bool closing_controller::isOpen(const service_id &service) const
{
    const auto config = m_replica.current();
    const auto found = config->services.find(service);
    return found != config->services.end() && found->second.open;
}

std::string closing_controller::refuseNewRequests(const closing_record &record)
{
    if (!isOpen(record.service)) {
        return {};
    }
    configuration_patch patch;
    patch.baseVersion = m_replica.position().version;
    // The id depends only on the service and the base version, so concurrent closings submit the same patch, which is applied once.
    patch.id = patch_id("close-" + sha256Hex(record.service.str()).substr(0, 16) + "-" + std::to_string(patch.baseVersion.value()));
    patch.author = record.author;
    patch.reason = record.reason;
    patch.merge = {{"services", {{record.service.str(), {{"open", false}}}}}};
    patch.submittedMs = wallClockMs();
    const commit_result result = m_callbacks.commit(patch);
    if (result.status != commit_result::kind::applied) {
        return "the patch that refuses new work is not applied: " + result.message;
    }
    return isOpen(record.service) ? "the patch that refuses new work is not yet in force" : "";
}

std::string closing_controller::finalizeOwnAccount(const service_id &service, config_version closedBy)
{
    const config_version version = m_replica.position().version;
    if (version < closedBy || isOpen(service)) {
        return "the service is not closed in configuration " + std::to_string(version.value());
    }
    // Requests are counted as running before they read the configuration, so once this count is 0 no request can start under the old one.
    if (const std::uint64_t running = m_callbacks.running(service); running > 0) {
        return std::to_string(running) + " requests are running";
    }
    m_accounts.closeService(service, version);
    const std::string problem = m_accounts.saveService(service);
    return problem.empty() ? "" : "the account is not saved: " + problem;
}

json closing_controller::findPendingNodes(const closing_record &record)
{
    std::vector<node_id> nodes;
    const std::shared_ptr<const cluster_view> view = m_peers.clusterView();
    for (const auto &[node, started] : view->live) {
        nodes.push_back(node);
    }
    const std::string checkRequest = json{{"service", record.service.str()}, {"configuration_version", record.configuration.value()}}.dump();
    std::mutex mutex;
    std::map<node_id, std::string> reasons;
    std::atomic<std::size_t> next{0};
    const auto check = [&] {
        for (std::size_t i = next++; i < nodes.size(); i = next++) {
            const outcome<std::string> answer = nodes[i] == m_self ? outcome<std::string>(finalizeOwnAccount(record.service, record.configuration))
                                                                   : m_peers.exchange(nodes[i], peer_exchange_kind::closing_check, checkRequest, CHECK_TIMEOUT);
            const std::string reason = answer ? *answer : "no answer: " + answer.reason().message;
            if (!reason.empty()) {
                const std::lock_guard lock(mutex);
                reasons[nodes[i]] = reason;
            }
        }
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 1; i < std::min(CHECK_THREADS, nodes.size()); ++i) {
        threads.emplace_back(check);
    }
    check();
    for (std::thread &thread : threads) {
        thread.join();
    }
    json waitingFor = json::array();
    for (const auto &[node, reason] : reasons) {
        waitingFor.push_back({{"node", node.str()}, {"reason", reason}});
    }
    return waitingFor;
}

outcome<json> closing_controller::collect(const closing_record &record)
{
    const outcome<object> earlier = m_callbacks.read(collectedKey(record.service));
    if (earlier || earlier.reason().code != error_code::not_found) {
        return earlier ? parseJson(earlier->value) : outcome<json>(earlier.reason());
    }
    const outcome<std::vector<object>> stored = m_callbacks.list("accounts/");
    if (!stored) {
        return stored.reason();
    }
    report_input input;
    input.service = record.service;
    input.closing = toJson(record);
    input.collectedMs = wallClockMs();
    for (const object &entry : *stored) {
        if (!entry.key.ends_with(account_keeper::keySuffixOf(record.service))) {
            continue;
        }
        const outcome<json> document = parseJson(entry.value);
        if (!document || !document->is_array()) {
            return failure{error_code::internal, "the object " + entry.key + " is malformed"};
        }
        for (const json &part : *document) {
            outcome<node_account> account = node_account::fromJson(part);
            if (!account) {
                return failure{error_code::internal, entry.key + ": " + account.reason().message};
            }
            input.accounts.push_back(std::move(account).value());
        }
    }
    for (const member &known : m_peers.members()) {
        input.members[known.id] = known;
    }
    const outcome<object> move = m_callbacks.read(moveKey(record.service));
    if (!move && move.reason().code != error_code::not_found) {
        return move.reason();
    }
    if (move) {
        const outcome<json> document = parseJson(move->value);
        input.move = document ? *document : json();
    }
    input.audit = m_callbacks.audit();
    const outcome<std::string> created = createIfAbsent(collectedKey(record.service), canonicalJson(buildServiceReport(input)));
    return created ? parseJson(*created) : outcome<json>(created.reason());
}

outcome<std::string> closing_controller::createIfAbsent(const std::string &key, const std::string &value) const
{
    const outcome<object_version> written = m_callbacks.write(key, value, object_version());
    if (written) {
        return value;
    }
    if (written.reason().code != error_code::conflict && written.reason().code != error_code::unknown_result) {
        return written.reason();
    }
    const outcome<object> current = m_callbacks.read(key);
    if (current) {
        return current->value;
    }
    return written.reason().code == error_code::unknown_result ? written.reason() : current.reason();
}

outcome<json> closing_controller::publishedResponse(const service_id &service, const std::string &text)
{
    // The record may still say collecting if the node that published the report stopped before it updated the record.
    const outcome<stored_record> current = load(service);
    if (current && current->record.state == closing_state::collecting) {
        const outcome<stored_record> last = advance(*current, closing_state::signed_off, sha256Hex(text));
        if (!last) {
            logWarning("closing.last_step_missing", {{"service", service.str()}, {"reason", last.reason().message}});
        }
    }
    const outcome<json> document = parseJson(text);
    if (!document) {
        return document.reason();
    }
    return json{{"service", service.str()}, {"state", "signed"}, {"waiting_for", json::array()}, {"published", *document}};
}

outcome<json> closing_controller::publish(const service_id &service, const std::string &text)
{
    const outcome<object> existing = m_callbacks.read(publishedKey(service));
    if (existing) {
        return publishedResponse(service, existing->value);
    }
    const report_verification check = verifyReport(text, "");
    if (!check.problem.empty()) {
        return failure{error_code::invalid_argument, "the report is not accepted: " + check.problem};
    }
    const outcome<object> collected = m_callbacks.read(collectedKey(service));
    if (!collected) {
        return collected.reason().code == error_code::not_found ? failure{error_code::conflict, "the report of the service is not collected yet"}
                                                                : collected.reason();
    }
    if (canonicalJson(check.report) != collected->value) {
        return failure{error_code::invalid_argument, "the signed report is not the one that was collected"};
    }
    const outcome<std::string> created = createIfAbsent(publishedKey(service), text);
    return created ? publishedResponse(service, *created) : outcome<json>(created.reason());
}

outcome<json> closing_controller::published(const service_id &service) const
{
    const outcome<object> existing = m_callbacks.read(publishedKey(service));
    return existing ? parseJson(existing->value) : outcome<json>(existing.reason());
}

outcome<json> closing_controller::describe(const service_id &service) const
{
    const outcome<stored_record> current = load(service);
    return current ? outcome<json>(toJson(current->record)) : outcome<json>(current.reason());
}

} // namespace snipefall
