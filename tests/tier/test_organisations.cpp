#include <boost/test/unit_test.hpp>

#include "tests/tier/running_site.h"

using namespace snipefall;

namespace {

const std::string FIRST_KEY = "key-of-the-first-organisation";
const std::string SECOND_KEY = "key-of-the-second-organisation";

std::string authorization(const std::string &key)
{
    return "Authorization: Token " + key + "\r\n";
}

struct site_with_organisations : running_site
{
    site_with_organisations()
    {
        site.configure([](json &configuration) {
            configuration["tenants"] = json::array({{{"name", "first"}, {"api_keys", {FIRST_KEY}}}, {{"name", "second"}, {"api_keys", {SECOND_KEY}}}});
            json open = configuration["routes"][1];
            open["name"] = "open";
            open["path_prefix"] = "/open/";
            open["public"] = true;
            configuration["routes"].push_back(open);
        });
        BOOST_REQUIRE(site_emulator::waitFor([this] { return order("node-0", "").status == 401 && order("node-1", "").status == 401; }));
    }

    site_caller::answer send(const std::string &node, site_caller::request request, const std::string &headers)
    {
        request.extraHeaders = headers;
        last = request.id;
        return site.call(site.addresses(node).callers, request);
    }

    site_caller::answer order(const std::string &node, const std::string &headers) { return send(node, site.orderRequest(), headers); }

    site_caller::answer openOrder(const std::string &headers)
    {
        site_caller::request request = site.orderRequest();
        request.target = "/open/" + request.id;
        return send("node-0", request, headers);
    }

    /** The headers of all runs of the last request, at any server. */
    std::vector<std::string> headersAtServers()
    {
        return site.onLoop([this] {
            std::vector<std::string> services = site.shards();
            services.emplace_back(site_emulator::UNSHARDED_SERVICE);
            std::vector<std::string> headers;
            for (const std::string &service : services) {
                for (const site_backend *server : site.serversOf(service)) {
                    for (const site_backend::run &run : server->runs()) {
                        if (run.requestId == last) {
                            headers.push_back(run.headers);
                        }
                    }
                }
            }
            return headers;
        });
    }

    bool serversSaw(const std::string &text)
    {
        const std::vector<std::string> headers = headersAtServers();
        return std::any_of(headers.begin(), headers.end(), [&](const std::string &run) { return run.find(text) != std::string::npos; });
    }

    std::string last; ///< Id of the last request.
};

} // namespace

BOOST_AUTO_TEST_SUITE(organisation_tests)

// Guards against requests that run without a valid key, and against servers that see a key or an organisation which the caller made up.
BOOST_AUTO_TEST_CASE(onlyKnownKeysAreServedAndServersSeeTheOrganisation)
{
    site_with_organisations site;
    BOOST_TEST(site.order("node-0", authorization("unknown")).status == 401U);
    BOOST_TEST(site.headersAtServers().empty());
    BOOST_TEST(site.order("node-0", authorization(FIRST_KEY) + authorization(SECOND_KEY)).status == 401U);
    BOOST_TEST(site.headersAtServers().empty());

    BOOST_TEST(site.order("node-0", authorization(FIRST_KEY) + "Tenant: second\r\n").status == 200U);
    BOOST_TEST(site.headersAtServers().size() == 1U);
    BOOST_TEST(site.serversSaw("Tenant: first\r\n"));
    BOOST_TEST(!site.serversSaw("second"));
    BOOST_TEST(!site.serversSaw("Authorization"));

    BOOST_TEST(site.send("node-1", site.site.queryRequest(), authorization(SECOND_KEY)).status == 200U);
    const std::vector<std::string> parts = site.headersAtServers();
    BOOST_TEST(parts.size() >= 3U);
    for (const std::string &part : parts) {
        BOOST_TEST(part.find("Tenant: second\r\n") != std::string::npos);
        BOOST_TEST(part.find("Authorization") == std::string::npos);
    }

    BOOST_TEST(site.openOrder("Tenant: first\r\n" + authorization("unknown")).status == 200U);
    BOOST_TEST(!site.serversSaw("Tenant"));
    BOOST_TEST(!site.serversSaw("Authorization"));
}

// Guards against a withdrawn key that keeps working on an open connection, and against keys in logs, metrics and answers.
BOOST_AUTO_TEST_CASE(withdrawnKeysStopWorkingAndNoKeyIsWrittenAnywhere)
{
    site_with_organisations site;
    BOOST_TEST(site.order("node-0", authorization(FIRST_KEY)).status == 200U);
    site.site.configure([](json &configuration) { configuration["tenants"][0]["api_keys"] = json::array(); });
    // The node may answer further orders until it knows of the change.
    unsigned answered = 1;
    BOOST_TEST(site_emulator::waitFor([&] {
        const unsigned status = site.order("node-0", authorization(FIRST_KEY)).status;
        answered += status == 200 ? 1 : 0;
        return status == 401;
    }));
    BOOST_TEST_MESSAGE("orders answered: " << answered);
    BOOST_TEST(site.order("node-0", authorization(SECOND_KEY)).status == 200U);
    site.order("node-0", authorization(SECOND_KEY) + authorization(SECOND_KEY));
    for (const std::string &node : site.names) {
        const std::string output = site.site.logOf(node) + site.metricsOf(node);
        BOOST_TEST(output.find(FIRST_KEY) == std::string::npos);
        BOOST_TEST(output.find(SECOND_KEY) == std::string::npos);
    }
    const std::string counted = "snipefall_organisation_requests_total{organisation=\"first\",outcome=\"answered\"} " + std::to_string(answered) + "\n";
    BOOST_TEST(site.metricsOf("node-0").find(counted) != std::string::npos);
}

// Guards the deployments without organisations: what callers send in these headers reaches the servers as before.
BOOST_AUTO_TEST_CASE(withoutOrganisationsHeadersAreForwarded)
{
    running_site site(1);
    site_caller::request request = site.site.orderRequest();
    request.extraHeaders = "Tenant: any\r\n" + authorization("any");
    BOOST_TEST(site.site.call(site.site.addresses("node-0").callers, request).status == 200U);
    const std::string headers = site.site.onLoop([&] {
        for (const site_backend *server : site.site.serversOf(site_emulator::UNSHARDED_SERVICE)) {
            if (!server->runs().empty()) {
                return server->runs().front().headers;
            }
        }
        return std::string();
    });
    BOOST_TEST(headers.find("Tenant: any\r\nAuthorization: Token any\r\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
