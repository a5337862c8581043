#include "policy/node_account.h"

namespace snipefall {

namespace {

// Limits the size of the stored object: 2,000 ids of 36 characters take about 100 KB of the 1 MB that the platform accepts for an object.
constexpr std::size_t MAX_UNKNOWN_REQUESTS = 2000;

json totalsToJson(const answer_totals_key &key, const answer_totals &totals)
{
    json entry = totals.toJson();
    entry["service"] = key.service.str();
    entry["version"] = key.version.str();
    entry["snapshot"] = key.snapshot.str();
    entry["outcome"] = toString(key.outcome);
    return entry;
}

outcome<answer_totals_key> keyFromJson(const json &entry)
{
    const std::optional<answer_outcome> parsedOutcome = parseAnswerOutcome(jsonValue<std::string>(entry, "outcome", ""));
    if (!parsedOutcome) {
        return failure{error_code::invalid_argument, "an account has an unknown outcome"};
    }
    return answer_totals_key{service_id(jsonValue<std::string>(entry, "service", "")),
                             version_id(jsonValue<std::string>(entry, "version", "")),
                             snapshot_id(jsonValue<std::string>(entry, "snapshot", "")),
                             *parsedOutcome};
}

} // namespace

node_account::node_account(node_id node, incarnation nodeIncarnation, std::uint64_t startedMs)
    : m_node(std::move(node))
    , m_incarnation(nodeIncarnation)
    , m_startedMs(startedMs)
    , m_savedToMs(startedMs)
{
}

void node_account::add(const answer_record &record)
{
    if (record.outcome != answer_outcome::not_run) {
        m_closedServices.erase(record.service);
    }
    m_totals[answer_totals_key{record.service, record.version, record.snapshot, record.outcome}].add(record);
    if (record.outcome != answer_outcome::unknown) {
        return;
    }
    if (m_unknownRequests.size() < MAX_UNKNOWN_REQUESTS) {
        m_unknownRequests.emplace_back(record.service, record.request);
    } else {
        ++m_unlistedUnknownRequests;
    }
}

bool node_account::serviceClosed(const service_id &service, config_version minVersion) const
{
    const auto found = m_closedServices.find(service);
    return m_closed || (found != m_closedServices.end() && found->second >= minVersion);
}

void node_account::prepareSave(std::uint64_t savedToMs)
{
    m_savedToMs = savedToMs;
    ++m_sequence;
}

node_account node_account::forService(const service_id &service) const
{
    node_account part = *this;
    std::erase_if(part.m_totals, [&service](const auto &entry) { return entry.first.service != service; });
    std::erase_if(part.m_unknownRequests, [&service](const auto &entry) { return entry.first != service; });
    std::erase_if(part.m_closedServices, [&service](const auto &closed) { return closed.first != service; });
    return part;
}

json node_account::toJson() const
{
    json totals = json::array();
    for (const auto &[key, sums] : m_totals) {
        totals.push_back(totalsToJson(key, sums));
    }
    json unknown = json::array();
    for (const auto &[service, request] : m_unknownRequests) {
        unknown.push_back({{"service", service.str()}, {"request_id", request.str()}});
    }
    json closedServices = json::array();
    for (const auto &[service, version] : m_closedServices) {
        closedServices.push_back({{"service", service.str()}, {"configuration_version", version.value()}});
    }
    return {{"node", m_node.str()},
            {"incarnation", m_incarnation.value()},
            {"started_ms", m_startedMs},
            {"saved_to_ms", m_savedToMs},
            {"sequence", m_sequence},
            {"closed", m_closed},
            {"closed_services", std::move(closedServices)},
            {"totals", std::move(totals)},
            {"unknown_requests", std::move(unknown)},
            {"unlisted_unknown_requests", m_unlistedUnknownRequests}};
}

outcome<node_account> node_account::fromJson(const json &document)
{
    if (!document.is_object()) {
        return failure{error_code::invalid_argument, "an account is not an object"};
    }
    node_account account(node_id(jsonValue<std::string>(document, "node", "")),
                         incarnation(jsonValue<std::uint64_t>(document, "incarnation", 0)),
                         jsonValue<std::uint64_t>(document, "started_ms", 0));
    account.m_savedToMs = jsonValue<std::uint64_t>(document, "saved_to_ms", 0);
    account.m_sequence = jsonValue<std::uint64_t>(document, "sequence", 0);
    account.m_closed = jsonValue<bool>(document, "closed", false);
    account.m_unlistedUnknownRequests = jsonValue<std::uint64_t>(document, "unlisted_unknown_requests", 0);
    for (const json &closed : document.value("closed_services", json::array())) {
        account.closeService(service_id(jsonValue<std::string>(closed, "service", "")),
                             config_version(jsonValue<std::uint64_t>(closed, "configuration_version", 0)));
    }
    for (const json &entry : document.value("unknown_requests", json::array())) {
        account.m_unknownRequests.emplace_back(service_id(jsonValue<std::string>(entry, "service", "")),
                                               request_id(jsonValue<std::string>(entry, "request_id", "")));
    }
    for (const json &entry : document.value("totals", json::array())) {
        const outcome<answer_totals_key> key = keyFromJson(entry);
        const outcome<answer_totals> sums = answer_totals::fromJson(entry);
        if (!key || !sums) {
            return key ? sums.reason() : key.reason();
        }
        account.m_totals.emplace(*key, *sums);
    }
    return account;
}

} // namespace snipefall
