#include <csignal>
#include <ostream>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/endpoint_text.h"
#include "tests/tier/running_site.h"

using namespace snipefall;

namespace {

using node_address = std::string site_emulator::node_addresses::*;

struct address_case
{
    const char *name;
    node_address address;
};

std::ostream &operator<<(std::ostream &out, const address_case &row)
{
    return out << row.name;
}

const address_case LISTEN_ADDRESSES[] = {
    {"callers", &site_emulator::node_addresses::callers},
    {"ready", &site_emulator::node_addresses::ready},
    {"directory", &site_emulator::node_addresses::directory},
    {"metrics", &site_emulator::node_addresses::metrics},
};

/** A site whose node-0 has been killed, so that its addresses are known and free. */
struct site_with_ended_node : running_site
{
    site_with_ended_node()
    {
        site.node("node-0").signal(SIGKILL);
        site.node("node-0").wait();
    }

    boost::asio::ip::tcp::acceptor occupy(const std::string &address) { return {loop, *parseEndpoint(address)}; }

    bool logs(const std::string &text)
    {
        return site_emulator::waitFor([&] { return site.logOf("node-0").find(text) != std::string::npos || !site.node("node-0").running(); })
            && site.logOf("node-0").find(text) != std::string::npos;
    }

    boost::asio::io_context loop;
};

} // namespace

BOOST_AUTO_TEST_SUITE(address_in_use_tests)

// Guards against a node that ends at its start because another process still has one of its addresses for a moment.
BOOST_DATA_TEST_CASE_F(site_with_ended_node, startWaitsForListenAddress, boost::unit_test::data::make(LISTEN_ADDRESSES), row)
{
    boost::asio::ip::tcp::acceptor occupant = occupy(site.addresses("node-0").*row.address);
    site.startNode("node-0", "zone-0");
    BOOST_REQUIRE(logs("event=address.not_usable"));
    occupant.close();
    BOOST_TEST(logs("event=address.usable"));
    BOOST_REQUIRE(site.node("node-0").running());
    BOOST_TEST(site.waitReady("node-0"));
}

// Guards against a node that waits for its addresses and then ignores a stop, or waits without end.
BOOST_FIXTURE_TEST_CASE(waitForListenAddressEnds, site_with_ended_node)
{
    boost::asio::ip::tcp::acceptor occupant = occupy(site.addresses("node-0").ready);
    site.startNode("node-0", "zone-0");
    BOOST_TEST(logs("event=address.not_usable"));
    site.node("node-0").signal(SIGTERM);
    BOOST_TEST(site.node("node-0").wait() == 0);
    site.startNode("node-0", "zone-0");
    BOOST_TEST(site.node("node-0").wait() == 3);
    BOOST_TEST(site.logOf("node-0").find("can't listen on " + site.addresses("node-0").ready) != std::string::npos);
}

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
