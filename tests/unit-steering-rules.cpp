// Routes, leaving upstreams, failure domains that are out, cold upstreams, starts.

#include "small_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>

using namespace bergamotglade;
using namespace bergamotglade::tests;

// Calm

TEST(SteeringCalm, EveryFlowIsAnsweredAndSpread)
{
    Small fleet;
    fleet.load(300);
    EXPECT_EQ(answeredOf(fleet, 300), 300U);
    EXPECT_EQ(fleet.resets(), 0U);
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_GT(fleet.upstream(i).openings.size(), 60U);
    }
}

// Routes

TEST(SteeringRoutes, AgentOfAnotherServiceDeliversNoOpening)
{
    Small fleet;
    const std::size_t other = fleet.addUpstream("documents", "a");
    // A balancer that holds an old entry sends flows to an address that serves another service.
    SectionChange stale = fleet.entryOf(other);
    UpstreamEntry entry = decodeUpstream(stale.text).value();
    entry.service = ServiceName("kits");
    stale.text = encode(entry);
    fleet.publishAtBalancer(0, stale);
    fleet.load(100);
    EXPECT_TRUE(fleet.upstream(other).openings.empty());
    EXPECT_EQ(answeredOf(fleet, 100), 100U);
}

TEST(SteeringRoutes, UnknownRouteIsResetAtOnce)
{
    Small fleet;
    RouteDocument none;
    none.version = 2;
    fleet.publish({RootName, Revision(2), encode(none)});
    const std::size_t flow = fleet.openFlow(0);
    fleet.runFor(Millis(10));
    EXPECT_TRUE(fleet.flow(flow).wasReset);
}

// Leaving upstreams

TEST(SteeringLeaving, GetsNoNewFlowsAlsoFromABalancerThatDoesNotKnow)
{
    Small fleet;
    SteeringFleet &all = fleet;
    all.publish(all.entryOf(0, true));
    // The balancer has not heard of it yet.
    all.publishAtBalancer(0, all.entryOf(0));
    fleet.load(100);
    EXPECT_TRUE(fleet.upstream(0).openings.empty());
    EXPECT_EQ(answeredOf(fleet, 100), 100U);
}

TEST(SteeringLeaving, KeepsItsOpenFlows)
{
    Small fleet;
    std::vector<std::size_t> flows;
    for (int i = 0; i < 12; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(50));
    fleet.publish(fleet.entryOf(0, true));
    fleet.runFor(Millis(1000));
    for (const std::size_t flow : flows) {
        fleet.request(flow);
    }
    fleet.runFor(Millis(500));
    EXPECT_EQ(answeredOf(fleet, 12), 12U);
    EXPECT_EQ(fleet.resets(), 0U);
}

// Failure domains that are out

TEST(SteeringDomainOut, GetsNoNewFlowsAlsoFromABalancerThatDoesNotKnow)
{
    Small fleet;
    fleet.publish(fleet.domainOut("a"));
    fleet.publishAtBalancer(0, fleet.domainOut("a", false));
    fleet.load(100);
    EXPECT_TRUE(fleet.upstream(0).openings.empty());
    EXPECT_EQ(answeredOf(fleet, 100), 100U);
}

TEST(SteeringDomainOut, TakesFlowsAgainWhenItIsBack)
{
    Small fleet;
    fleet.publish(fleet.domainOut("a"));
    fleet.load(20);
    fleet.publish(fleet.domainOut("a", false));
    fleet.load(100);
    EXPECT_FALSE(fleet.upstream(0).openings.empty());
}

// Cold upstreams

TEST(SteeringCold, GetsNoMoreThanItsRateFromAllBalancersTogether)
{
    constexpr double Rate = 10;
    Small fleet(Rate);
    fleet.addBalancer();
    fleet.addBalancer();
    fleet.publish(fleet.entryOf(0, false, Millis(4000)));
    for (std::size_t i = 0; i < 600; ++i) {
        fleet.openFlow(i % 3);
        fleet.runFor(Millis(5));
    }
    const auto &openings = fleet.upstream(0).openings;
    for (std::size_t i = 0; i < openings.size(); ++i) {
        const auto later = std::count_if(openings.begin(), openings.end(), [&](Instant at) {
            return at >= openings[i] && at < openings[i] + Millis(1000);
        });
        EXPECT_LE(static_cast<double>(later), Rate * 1.5 + 5);
    }
    EXPECT_FALSE(openings.empty());
    EXPECT_EQ(fleet.resets(), 0U);
}

// Start with nothing

TEST(SteeringStart, HeldFlowsArePlacedWhenRoutesComeAndAgentsAnnounceThemselves)
{
    SteeringFleet fleet;
    for (int i = 0; i < 3; ++i) {
        fleet.addUpstream("kits", "a", false, false);
    }
    fleet.addBalancer(false);
    std::vector<std::size_t> flows;
    for (int i = 0; i < 20; ++i) {
        flows.push_back(fleet.openFlow(0));
    }
    fleet.runFor(Millis(1000));
    // The platform is back with the routes; entries of upstreams have expired.
    fleet.publish(SteeringFleet::routesTo({{"kits", 1}}));
    fleet.runFor(Millis(300));
    EXPECT_EQ(answeredOf(fleet, 20), 20U);
    EXPECT_EQ(fleet.resets(), 0U);
}

TEST(SteeringStart, AnAnnouncedUpstreamWhoseEntryStaysMissingIsGone)
{
    SteeringFleet fleet;
    fleet.publish(SteeringFleet::routesTo({{"kits", 1}}));
    fleet.addUpstream("kits", "a", false);
    fleet.addUpstream("kits", "a", true);
    fleet.addBalancer();
    fleet.runFor(Millis(3000));
    const std::size_t before = fleet.upstream(0).openings.size();
    for (int i = 0; i < 50; ++i) {
        fleet.openFlow(0);
        fleet.runFor(Millis(10));
    }
    fleet.runFor(Millis(500));
    EXPECT_EQ(fleet.upstream(0).openings.size(), before);
    EXPECT_EQ(answeredOf(fleet, 50), 50U);
}
