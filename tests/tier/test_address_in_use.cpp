#include <csignal>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>

#include "http/endpoint_text.h"
#include "tests/tier/running_site.h"

using namespace snipefall;

namespace {

/** A site whose node-0 has been killed, so that its addresses are known and free. */
struct site_with_ended_node : running_site
{
    site_with_ended_node()
    {
        site.node("node-0").signal(SIGKILL);
        site.node("node-0").wait();
    }

    bool logs(const std::string &text)
    {
        return site_emulator::waitFor([&] { return site.logOf("node-0").find(text) != std::string::npos || !site.node("node-0").running(); })
            && site.logOf("node-0").find(text) != std::string::npos;
    }

    boost::asio::io_context loop;
};

} // namespace

BOOST_AUTO_TEST_SUITE(address_in_use_tests)

// Guards against a node that never joins its peers because its peer address was in use for a moment.
BOOST_FIXTURE_TEST_CASE(nodeJoinsOncePeerAddressIsFree, site_with_ended_node)
{
    const auto address = parseEndpoint(site.addresses("node-0").peers);
    boost::asio::ip::udp::socket occupant(loop, {address->address(), address->port()});
    site.startNode("node-0", "zone-0");
    BOOST_REQUIRE(logs("event=peers.not_joined"));
    occupant.close();
    BOOST_TEST(site_emulator::waitFor([&] { return metricsOf("node-0").find("live_peers\"} 1") != std::string::npos; }));
    BOOST_TEST(site.logOf("node-0").find("event=peers.joined") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
