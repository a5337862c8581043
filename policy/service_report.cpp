#include "policy/service_report.h"

#include <algorithm>

namespace snipefall {

namespace {

using incarnation_key = std::pair<node_id, incarnation>;
using account_map = std::map<incarnation_key, node_account>;

account_map newestAccounts(const report_input &input)
{
    account_map accounts;
    for (const node_account &account : input.accounts) {
        const incarnation_key key{account.node(), account.nodeIncarnation()};
        const auto found = accounts.find(key);
        if (found == accounts.end() || found->second.sequence() < account.sequence()) {
            accounts.insert_or_assign(key, account.forService(input.service));
        }
    }
    return accounts;
}

json totalsJson(const answer_totals &totals)
{
    const latency_histogram &latency = totals.latency();
    return {{"answers", totals.answers()},
            {"items_seen", totals.itemsSeen()},
            {"items_total", totals.itemsTotal()},
            {"coverage_histogram", totals.coverage()},
            {"first_sub_requests", totals.firstSubRequests()},
            {"extra_sub_requests", totals.extraSubRequests()},
            {"latency_us",
             {{"p50", latency.quantile(0.5).count()},
              {"p95", latency.quantile(0.95).count()},
              {"p99", latency.quantile(0.99).count()},
              {"max", latency.quantile(1.0).count()}}}};
}

void addTotals(json &report, const account_map &accounts)
{
    std::map<answer_totals_key, answer_totals> groups;
    std::map<answer_outcome, answer_totals> outcomes;
    answer_totals all;
    for (const auto &[key, account] : accounts) {
        for (const auto &[group, totals] : account.totals()) {
            groups[group].merge(totals);
            outcomes[group.outcome].merge(totals);
            all.merge(totals);
        }
    }
    report["totals"] = totalsJson(all);
    report["outcomes"] = json::object();
    for (const auto &[kind, totals] : outcomes) {
        report["outcomes"][std::string(toString(kind))] = totalsJson(totals);
    }
    report["groups"] = json::array();
    for (const auto &[key, totals] : groups) {
        json group = totalsJson(totals);
        group["version"] = key.version.str();
        group["snapshot"] = key.snapshot.str();
        group["outcome"] = toString(key.outcome);
        report["groups"].push_back(std::move(group));
    }
}

void addUnknownRequests(json &report, const account_map &accounts)
{
    json requests = json::array();
    std::uint64_t unlisted = 0;
    for (const auto &[key, account] : accounts) {
        for (const auto &[service, request] : account.unknownRequests()) {
            requests.push_back(request.str());
        }
        unlisted += account.unlistedUnknownRequests();
    }
    report["unknown_requests"] = std::move(requests);
    // A node counts the unlisted requests of all services together, so the sum is only an upper bound for this service.
    report["unlisted_unknown_requests_at_most"] = unlisted;
}

json gapJson(const incarnation_key &key, std::uint64_t savedToMs, std::uint64_t untilMs)
{
    return {{"node", key.first.str()}, {"incarnation", key.second.value()}, {"saved_to_ms", savedToMs}, {"until_ms", std::max(savedToMs, untilMs)}};
}

void addNodes(json &report, const account_map &accounts, const report_input &input)
{
    json nodes = json::array();
    json gaps = json::array();
    std::map<node_id, incarnation> newestSavedIncarnations;
    // A mark of an older configuration doesn't count: the service may have been opened again since, with answers that the account lacks.
    const config_version closingVersion(jsonValue<std::uint64_t>(input.closing, "configuration_version", 0));
    for (auto entry = accounts.begin(); entry != accounts.end(); ++entry) {
        const auto &[key, account] = *entry;
        const auto next = std::next(entry);
        const bool hasLaterIncarnation = next != accounts.end() && next->first.first == key.first;
        const bool closed = account.serviceClosed(input.service, closingVersion);
        newestSavedIncarnations[key.first] = key.second;
        std::uint64_t answers = 0;
        for (const auto &[group, totals] : account.totals()) {
            answers += totals.answers();
        }
        nodes.push_back({{"node", key.first.str()},
                         {"incarnation", key.second.value()},
                         {"from_ms", account.startedMs()},
                         {"to_ms", account.savedToMs()},
                         {"closed", closed},
                         {"answers", answers}});
        if (!closed) {
            gaps.push_back(gapJson(key, account.savedToMs(), hasLaterIncarnation ? next->second.startedMs() : input.collectedMs));
        }
    }
    for (const auto &[node, memberEntry] : input.members) {
        const incarnation started = memberEntry.firstStarted();
        const auto newestSaved = newestSavedIncarnations.find(node);
        if (newestSaved == newestSavedIncarnations.end() || started > newestSaved->second) {
            // The node has not saved any account in its newest incarnation.
            gaps.push_back(gapJson({node, started}, started.value(), input.collectedMs));
        }
    }
    report["nodes"] = std::move(nodes);
    report["gaps"] = std::move(gaps);
}

} // namespace

json buildServiceReport(const report_input &input)
{
    const account_map accounts = newestAccounts(input);
    json report = {{"format", REPORT_FORMAT},
                   {"service", input.service.str()},
                   {"collected_ms", input.collectedMs},
                   {"closing", input.closing},
                   {"moves", input.move.is_null() ? json::array() : json::array({input.move})},
                   {"audit", input.audit}};
    addTotals(report, accounts);
    addUnknownRequests(report, accounts);
    addNodes(report, accounts, input);
    return report;
}

} // namespace snipefall
