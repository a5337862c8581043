#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/route_matcher.h"

using namespace snipefall;

namespace {

request_route routeOf(const std::string &name, const std::string &host, const std::string &prefix)
{
    request_route route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    return route;
}

struct match_case
{
    const char *name;
    const char *host;
    const char *target;
    const char *route; ///< Empty when none matches.
};

std::ostream &operator<<(std::ostream &out, const match_case &row)
{
    return out << row.name;
}

const match_case MATCH_CASES[] = {
    {"a prefix of the path matches", "a.example", "/x/1", "short"},
    {"the longest prefix wins", "a.example", "/x/y/1", "long"},
    {"the final slash of a prefix is required", "a.example", "/x", ""},
    {"a longer path segment does not match", "a.example", "/xy/1", ""},
    {"a prefix in the query string does not match", "a.example", "/z?/x/", ""},
    {"a query string after the path", "a.example", "/x/y/?q=1", "long"},
    {"the host's port is ignored", "a.example:80", "/x/1", "short"},
    {"hosts are compared without regard to case", "A.Example", "/x/1", "short"},
    {"another host", "b.example", "/x/1", "other"},
    {"an unknown host", "c.example", "/x/1", ""},
    {"an empty path", "a.example", "", ""},
};

} // namespace

BOOST_AUTO_TEST_SUITE(route_matcher_tests)

// Guards against sending requests to the service of the wrong route.
BOOST_DATA_TEST_CASE(findsTheRoute, boost::unit_test::data::make(MATCH_CASES), row)
{
    auto configuration = std::make_shared<site_configuration>();
    configuration->routes = {routeOf("short", "a.example", "/x/"), routeOf("long", "a.example", "/x/y/"), routeOf("other", "b.example", "/x/")};
    const route_matcher matcher(configuration);
    const request_route *found = matcher.find(row.host, row.target);
    BOOST_TEST((found ? found->name : "") == row.route);
}

BOOST_AUTO_TEST_SUITE_END()
