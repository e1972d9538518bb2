// Packets whose route is not in the configuration view of the process that receives them.

#include "small_fleet.hpp"

#include <gtest/gtest.h>

using namespace bergamotglade;
using namespace bergamotglade::tests;

namespace {

constexpr std::size_t AddedRoute = 1;

/// Routes of the service "kits"; the second one is the added route.
SectionChange routes(std::uint64_t version, std::size_t count)
{
    SectionChange change = SteeringFleet::routeSection({{"kits", 1}}, 0, count);
    RouteDocument document = decodeRoutes(change.text).value();
    document.version = version;
    return {RootName, Revision(version), encode(document)};
}

/// A fleet with two balancers. Version 2, which adds a route, is published at some processes only.
struct FleetWithAddedRoute : SmallFleet
{
    FleetWithAddedRoute() { addBalancer(); }

    void addRouteAtAgents()
    {
        for (std::size_t i = 0; i < 3; ++i) {
            publishAtAgent(i, routes(2, 2));
        }
    }
    void addRouteAtBalancer(std::size_t balancer) { publishAtBalancer(balancer, routes(2, 2)); }
    /// @brief Opens a flow on the added route through the first balancer.
    std::size_t openOnAddedRoute()
    {
        const std::size_t flow = openFlow(0, false, AddedRoute);
        runFor(Millis(100));
        EXPECT_TRUE(this->flow(flow).answered);
        return flow;
    }
    /// @brief Moves a flow to the second balancer and sends a request on it.
    void sendThroughSecondBalancer(std::size_t index)
    {
        flow(index).balancer = 1;
        sendRequest(index);
    }
};

} // namespace

// Guards against resets of open flows by a balancer that does not know their added route yet.
TEST(UnroutedFlows, OpenFlowOfAnAddedRouteIsNotResetByABalancerThatLearnsTheRouteLater)
{
    FleetWithAddedRoute fleet;
    fleet.platformConfirms = false;
    fleet.addRouteAtAgents();
    fleet.addRouteAtBalancer(0);
    const std::size_t flow = fleet.openOnAddedRoute();
    fleet.sendThroughSecondBalancer(flow);
    fleet.runFor(Millis(320));
    EXPECT_FALSE(fleet.flow(flow).wasReset);
    fleet.addRouteAtBalancer(1);
    fleet.runFor(Millis(100));
    EXPECT_FALSE(fleet.flow(flow).wasReset);
    EXPECT_TRUE(fleet.flow(flow).answered);
}

// Guards against waiting for the spread of a version that the platform can deliver at once.
TEST(UnroutedFlows, BalancerGetsTheRouteOfAnOpenFlowFromThePlatform)
{
    FleetWithAddedRoute fleet;
    fleet.addRouteAtAgents();
    fleet.addRouteAtBalancer(0);
    fleet.platformNews = routes(2, 2);
    const std::size_t flow = fleet.openOnAddedRoute();
    fleet.sendThroughSecondBalancer(flow);
    fleet.runFor(Millis(60));
    EXPECT_TRUE(fleet.flow(flow).answered);
    EXPECT_EQ(fleet.resetCount(), 0U);
}

// Guards against resets of flows of a route that was dropped and added again in quick succession.
TEST(UnroutedFlows, OpenFlowOfARouteThatWasAddedAgainIsNotReset)
{
    FleetWithAddedRoute fleet;
    fleet.platformConfirms = false;
    fleet.publish(routes(2, 2));
    fleet.publish(routes(3, 1));
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.publishAtAgent(i, routes(4, 2));
    }
    fleet.publishAtBalancer(0, routes(4, 2));
    const std::size_t flow = fleet.openOnAddedRoute();
    fleet.sendThroughSecondBalancer(flow);
    fleet.runFor(Millis(320));
    fleet.publishAtBalancer(1, routes(4, 2));
    fleet.runFor(Millis(100));
    EXPECT_FALSE(fleet.flow(flow).wasReset);
    EXPECT_TRUE(fleet.flow(flow).answered);
}

// Guards against silence towards the callers of a route that was dropped.
TEST(UnroutedFlows, KnownFlowOfADroppedRouteIsResetAtOnceWhileThePlatformIsAway)
{
    FleetWithAddedRoute fleet;
    fleet.publish(routes(2, 2));
    const std::size_t flow = fleet.openOnAddedRoute();
    fleet.platformConfirms = false;
    fleet.publish(routes(3, 1));
    fleet.sendRequest(flow);
    fleet.runFor(Millis(5));
    EXPECT_TRUE(fleet.flow(flow).wasReset);
}

// Guards against silence towards callers whose flow has moved after its route was dropped.
TEST(UnroutedFlows, UnknownFlowOfADroppedRouteIsResetOnceThePlatformHasConfirmedTheView)
{
    FleetWithAddedRoute fleet;
    fleet.publish(routes(2, 2));
    const std::size_t flow = fleet.openOnAddedRoute();
    fleet.publish(routes(3, 1));
    fleet.sendThroughSecondBalancer(flow);
    fleet.runFor(Millis(10));
    EXPECT_TRUE(fleet.flow(flow).wasReset);
    EXPECT_EQ(fleet.balancer(1).unroutedFlows().counters().flowsRejected, 1U);
}

// Guards against a rejection of new flows on a route that is in force elsewhere already.
TEST(UnroutedFlows, NewFlowOfAnAddedRouteIsPlacedWhenTheBalancerLearnsTheRoute)
{
    FleetWithAddedRoute fleet;
    fleet.platformConfirms = false;
    fleet.addRouteAtAgents();
    const std::size_t flow = fleet.openFlow(1, false, AddedRoute);
    fleet.runFor(Millis(150));
    EXPECT_FALSE(fleet.flow(flow).wasReset);
    fleet.addRouteAtBalancer(1);
    fleet.runFor(Millis(100));
    EXPECT_TRUE(fleet.flow(flow).answered);
}

// Guards against new flows that are held to their deadline because the platform is away.
TEST(UnroutedFlows, NewFlowWithoutARouteIsRejectedSoonWhileThePlatformIsAway)
{
    SmallFleet fleet;
    fleet.platformConfirms = false;
    const std::size_t flow = fleet.openFlow(0, false, AddedRoute);
    fleet.runFor(Millis(450));
    EXPECT_TRUE(fleet.flow(flow).wasReset);
}

// Guards against the reset of a flow of which this balancer has held a copy of the opening packet
// while another one has opened it.
TEST(UnroutedFlows, FlowThatOpensElsewhereWhileItsOpeningPacketIsHeldIsNotReset)
{
    FleetWithAddedRoute fleet;
    fleet.platformConfirms = false;
    fleet.addRouteAtAgents();
    fleet.addRouteAtBalancer(0);
    const std::size_t flow = fleet.openOnAddedRoute();
    fleet.flow(flow).balancer = 1;
    fleet.resendOpening(flow);
    fleet.runFor(Millis(100));
    fleet.sendRequest(flow);
    fleet.runFor(Millis(500));
    EXPECT_FALSE(fleet.flow(flow).wasReset);
    fleet.addRouteAtBalancer(1);
    fleet.runFor(Millis(100));
    EXPECT_TRUE(fleet.flow(flow).answered);
}

// Guards against a wait of new flows whose route is known to be gone.
TEST(UnroutedFlows, NewFlowOfADroppedRouteIsRejectedAtOnceWhileThePlatformIsAway)
{
    FleetWithAddedRoute fleet;
    fleet.platformConfirms = false;
    fleet.publish(routes(2, 2));
    fleet.publish(routes(3, 1));
    const std::size_t flow = fleet.openFlow(1, false, AddedRoute);
    fleet.runFor(Millis(5));
    EXPECT_TRUE(fleet.flow(flow).wasReset);
}

// Guards against new flows that wait for a retransmission, and against the suspicion that an agent
// is dead, because the agent does not know an added route yet.
TEST(UnroutedFlows, AgentThatLearnsTheRouteLaterTakesTheFlowAndStaysInUse)
{
    FleetWithAddedRoute fleet;
    fleet.platformConfirms = false;
    fleet.addRouteAtBalancer(0);
    const std::size_t flow = fleet.openFlow(0, false, AddedRoute);
    fleet.runFor(Millis(100));
    fleet.addRouteAtAgents();
    fleet.runFor(Millis(60));
    EXPECT_TRUE(fleet.flow(flow).answered);
    EXPECT_EQ(fleet.balancer(0).counters().flowsReoffered, 0U);
}

// Guards against lost packets of open flows whose home does not know an added route yet.
TEST(UnroutedFlows, HomeThatLearnsTheRouteLaterFindsTheOwner)
{
    FleetWithAddedRoute fleet;
    fleet.platformConfirms = false;
    fleet.addRouteAtAgents();
    fleet.addRouteAtBalancer(0);
    fleet.addRouteAtBalancer(1);
    std::vector<std::size_t> flows;
    for (std::size_t i = 0; i < 10; ++i) {
        flows.push_back(fleet.openOnAddedRoute());
    }
    // One owner keeps its view; the others start again with an earlier one.
    const std::size_t owner = fleet.upstreamOf(flows.front());
    for (std::size_t i = 0; i < 3; ++i) {
        if (i != owner) {
            fleet.restartAgent(i, true);
        }
    }
    std::erase_if(flows, [&](std::size_t flow) { return fleet.upstreamOf(flow) != owner; });
    for (const std::size_t flow : flows) {
        fleet.sendThroughSecondBalancer(flow);
    }
    fleet.runFor(Millis(150));
    fleet.addRouteAtAgents();
    fleet.runFor(Millis(100));
    for (const std::size_t flow : flows) {
        EXPECT_TRUE(fleet.flow(flow).answered);
    }
    EXPECT_EQ(fleet.resetCount(), 0U);
}
