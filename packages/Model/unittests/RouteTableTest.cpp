// Tests of route lookup by host and longest prefix, and of organisation lookup by key.
#include "lentilbay/Model/RouteTable.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

Route routeOf(std::string name, std::string host, std::string prefix)
{
    Route out;
    out.name = std::move(name);
    out.host = std::move(host);
    out.prefix = std::move(prefix);
    out.targets = { { .service = ServiceId("s") } };
    return out;
}

RouteTable table()
{
    RouteTable::Parts parts;
    parts.version = 3;
    parts.routes = { routeOf("root", "a", "/"), routeOf("x", "a", "/x/"), routeOf("xy", "a", "/x/y/"),
        routeOf("only", "b", "/x/") };
    parts.services = { { .name = ServiceId("s") } };
    parts.organisations = { { .name = OrganisationId("o") }, { .name = OrganisationId("p") } };
    parts.keys = { { "k1", 0 }, { "k2", 1 }, { "k3", 1 } };
    return RouteTable(std::move(parts));
}

std::string nameOf(const Route* route) { return route ? route->name : "none"; }

TEST(RouteTable, FindsLongestPrefix)
{
    const auto routes = table();
    EXPECT_EQ(nameOf(routes.findRoute("a", "/x/y/z")), "xy");
    EXPECT_EQ(nameOf(routes.findRoute("a", "/x/y/")), "xy");
    EXPECT_EQ(nameOf(routes.findRoute("a", "/x/y")), "x");
    EXPECT_EQ(nameOf(routes.findRoute("a", "/x/yz/y/")), "x");
    EXPECT_EQ(nameOf(routes.findRoute("a", "/x")), "root");
    EXPECT_EQ(nameOf(routes.findRoute("a", "/")), "root");
    EXPECT_EQ(nameOf(routes.findRoute("b", "/x/1")), "only");
    EXPECT_EQ(nameOf(routes.findRoute("b", "/y/1")), "none");
    EXPECT_EQ(nameOf(routes.findRoute("c", "/x/1")), "none");
    EXPECT_EQ(nameOf(routes.findRoute("a", "")), "none");
}

TEST(RouteTable, FindsOrganisationByAnyKey)
{
    const auto routes = table();
    ASSERT_TRUE(routes.findOrganisation("k3"));
    EXPECT_EQ(routes.findOrganisation("k3")->name, OrganisationId("p"));
    EXPECT_EQ(routes.findOrganisation("k4"), nullptr);
    EXPECT_EQ(routes.findService(ServiceId("t")), nullptr);
    EXPECT_TRUE(routes.findService(ServiceId("s")));
}

} // namespace
} // namespace lentilbay
