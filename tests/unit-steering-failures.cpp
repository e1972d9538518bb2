// Upstreams, agents and balancers that fail, refuse flows or are paused.

#include "small_fleet.hpp"

#include <gtest/gtest.h>

using namespace bergamotglade;
using namespace bergamotglade::tests;

TEST(SteeringFailures, FlowsOfferedToASilentUpstreamAreSoonOfferedElsewhere)
{
    SmallFleet fleet;
    fleet.upstream(0).unresponsive = true;
    fleet.openFlows(100);
    EXPECT_EQ(countAnswered(fleet, 100), 100U);
    for (std::size_t i = 0; i < 100; ++i) {
        // The agent's offer timeout (40 ms), a tick (20 ms), the service time (20 ms), the network
        // delays and some margin.
        EXPECT_LE(fleet.flow(i).answeredAt - fleet.flow(i).openedAt, Millis(150));
    }
}

TEST(SteeringFailures, FlowsOfferedToADeadAgentAreSoonOfferedElsewhere)
{
    SmallFleet fleet;
    fleet.unreachableAgents.insert(1);
    fleet.openFlows(100);
    EXPECT_EQ(countAnswered(fleet, 100), 100U);
    for (std::size_t i = 0; i < 100; ++i) {
        // The balancer's offer timeout (80 ms), a tick (20 ms), the service time (20 ms), the
        // network delays and some margin.
        EXPECT_LE(fleet.flow(i).answeredAt - fleet.flow(i).openedAt, Millis(190));
    }
}

TEST(SteeringFailures, FlowsOfACrashedUpstreamAreReset)
{
    SmallFleet fleet;
    std::vector<std::size_t> flows;
    for (int i = 0; i < 30; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(50));
    fleet.upstream(0).unresponsive = true;
    fleet.upstream(0).listens = false;
    std::size_t held = 0;
    for (const std::size_t flow : flows) {
        if (fleet.upstreamOf(flow) == 0) {
            ++held;
            fleet.sendRequest(flow);
        }
    }
    fleet.openFlows(200, Millis(10));
    EXPECT_GT(held, 0U);
    EXPECT_EQ(fleet.resetCount(), held);
}

// Guards against plain acknowledgements, which no upstream answers, being counted as signs of a
// crash.
TEST(SteeringFailures, OneLostOpeningPacketResetsNoFlows)
{
    SmallFleet fleet(0, 1);
    std::vector<std::size_t> flows;
    for (int i = 0; i < 12; ++i) {
        flows.push_back(fleet.openFlow(0));
        fleet.runFor(Millis(60));
    }
    // The upstream works on a request of a flow, and its last answers to the others have been
    // acknowledged for a while.
    fleet.upstream(0).serviceTime = Millis(3000);
    fleet.sendRequest(flows.front());
    for (const std::size_t flow : flows) {
        fleet.acknowledge(flow, 400);
    }
    fleet.runFor(Millis(800));
    fleet.upstream(0).openingsToLose = 1;
    // The upstream serves no TCP: the count must suffice.
    fleet.upstream(0).listens = false;
    fleet.openFlow(0, true);
    fleet.runFor(Millis(150));
    EXPECT_EQ(fleet.upstream(0).openingsToLose, 0U);
    for (const std::size_t flow : flows) {
        fleet.acknowledge(flow, 400);
    }
    fleet.runFor(Millis(4000));
    EXPECT_EQ(fleet.agent(0).counters().upstreamSilences, 1U);
    for (const std::size_t flow : flows) {
        EXPECT_FALSE(fleet.flow(flow).wasReset);
        EXPECT_TRUE(fleet.flow(flow).answered);
    }
}

// Guards against silence being taken for a crash: a suspended upstream keeps its flows.
TEST(SteeringFailures, FlowsOfASilentUpstreamThatStillListensAreKept)
{
    SmallFleet fleet;
    std::vector<std::size_t> flows;
    for (int i = 0; i < 30; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(50));
    fleet.upstream(0).unresponsive = true;
    for (const std::size_t flow : flows) {
        fleet.sendRequest(flow);
    }
    fleet.openFlows(200, Millis(10));
    EXPECT_GT(fleet.agent(0).counters().upstreamConnections, 0U);
    EXPECT_EQ(fleet.resetCount(), 0U);
    fleet.upstream(0).unresponsive = false;
    for (const std::size_t flow : flows) {
        fleet.sendRequest(flow);
    }
    fleet.runFor(Millis(500));
    EXPECT_EQ(countAnswered(fleet, flows.size()), flows.size());
    EXPECT_EQ(fleet.resetCount(), 0U);
}

TEST(SteeringFailures, RefusedFlowsAreHandedOffAndResetWhenAllUpstreamsRefuse)
{
    SmallFleet fleet;
    fleet.upstream(0).refusesFlows = true;
    fleet.upstream(1).refusesFlows = true;
    fleet.openFlows(60, Millis(20));
    EXPECT_EQ(countAnswered(fleet, 60), 60U);
    fleet.upstream(2).refusesFlows = true;
    const std::size_t refused = fleet.openFlow(0);
    fleet.runFor(Millis(30));
    EXPECT_TRUE(fleet.flow(refused).wasReset);
}

TEST(SteeringFailures, UpstreamThatRefusesFlowsGetsOnlyProbesUnderOverload)
{
    SmallFleet fleet;
    fleet.upstream(0).refusesFlows = true;
    // 500 flows per second for the 400 that the other two upstreams can serve.
    fleet.openFlows(500, Millis(2));
    // One refusal per 300 ms during the second of load and the 500 ms after it, plus the flows in
    // transit at each refusal.
    EXPECT_LE(fleet.agent(0).counters().packetsReturned, 20U);
}

TEST(SteeringFailures, UpstreamThatAcceptsFlowsAgainIsUsedAgain)
{
    SmallFleet fleet;
    fleet.upstream(0).refusesFlows = true;
    fleet.openFlows(100);
    fleet.upstream(0).refusesFlows = false;
    // A single probe must suffice: its outcome is known before the next would be due.
    fleet.openFlows(200);
    const std::size_t before = fleet.upstream(0).openingTimes.size();
    fleet.openFlows(150);
    EXPECT_GT(fleet.upstream(0).openingTimes.size() - before, 30U);
}

TEST(SteeringFailures, UpstreamThatResetsItsFlowsGetsOnlyProbes)
{
    SmallFleet fleet;
    fleet.upstream(1).resetsRequests = true;
    // An upstream that fails its requests at once always appears idle.
    fleet.openFlows(300);
    // Three resets until it is detected, then one probe per 300 ms for two seconds, and some
    // margin.
    EXPECT_LE(fleet.resetCount(), 16U);
    EXPECT_EQ(countAnswered(fleet, 300) + fleet.resetCount(), 300U);
}

TEST(SteeringFailures, UpstreamThatStopsResettingItsFlowsIsUsedAgain)
{
    SmallFleet fleet;
    fleet.upstream(1).resetsRequests = true;
    fleet.openFlows(200);
    fleet.upstream(1).resetsRequests = false;
    // The balancer's suspicion ends from time to time, and the probes are answered.
    fleet.openFlows(600);
    const std::size_t before = fleet.upstream(1).openingTimes.size();
    fleet.openFlows(300);
    EXPECT_GT(fleet.upstream(1).openingTimes.size() - before, 60U);
}

TEST(SteeringFailures, UpstreamsThatAllResetTheirFlowsStayInUse)
{
    SmallFleet fleet;
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.upstream(i).resetsRequests = true;
    }
    fleet.openFlows(300);
    std::size_t openings = 0;
    for (std::size_t i = 0; i < 3; ++i) {
        openings += fleet.upstream(i).openingTimes.size();
    }
    // Suspicion must not take a whole service out: every flow still reaches an upstream.
    EXPECT_GE(openings, 300U);
}

TEST(SteeringFailures, DrainingAgentHandsOffNewFlowsAndKeepsOpenOnes)
{
    SmallFleet fleet;
    std::vector<std::size_t> flows;
    for (int i = 0; i < 12; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(50));
    const std::size_t before = fleet.upstream(0).openingTimes.size();
    fleet.agent(0).startDraining(fleet.now());
    for (const std::size_t flow : flows) {
        fleet.sendRequest(flow);
    }
    fleet.openFlows(100);
    EXPECT_EQ(fleet.upstream(0).openingTimes.size(), before);
    EXPECT_EQ(countAnswered(fleet, 112), 112U);
}

TEST(SteeringPause, BalancerWithAnOutdatedViewPlacesNoFlows)
{
    SmallFleet fleet;
    fleet.balancersMayAct = false;
    const std::size_t flow = fleet.openFlow(0);
    fleet.runFor(Millis(500));
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_TRUE(fleet.upstream(i).openingTimes.empty());
    }
    EXPECT_FALSE(fleet.flow(flow).wasReset);
    fleet.balancersMayAct = true;
    fleet.runFor(Millis(200));
    EXPECT_TRUE(fleet.flow(flow).answered);
}

TEST(SteeringPause, AgentWithAnOutdatedViewAcceptsNoFlows)
{
    SmallFleet fleet;
    fleet.agentsMayAct = false;
    const std::size_t flow = fleet.openFlow(0);
    fleet.runFor(Millis(300));
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_TRUE(fleet.upstream(i).openingTimes.empty());
    }
    fleet.agentsMayAct = true;
    fleet.runFor(Millis(700));
    EXPECT_TRUE(fleet.flow(flow).answered);
}

TEST(SteeringPause, ResumedAgentDoesNotTakeItsUpstreamForCrashed)
{
    SmallFleet fleet;
    std::vector<std::size_t> flows;
    for (int i = 0; i < 12; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(100));
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.upstream(i).answerDelay = Millis(10);
    }
    // Requests and new flows are at the upstreams when the agents stop; the answers are deferred.
    for (const std::size_t flow : flows) {
        fleet.sendRequest(flow);
    }
    for (int i = 0; i < 6; ++i) {
        fleet.openFlow(0);
    }
    fleet.runFor(Millis(4));
    fleet.pauseAgents();
    fleet.runFor(Millis(4000));
    fleet.resumeAgents();
    fleet.runFor(Millis(1000));
    // The callers of the six new flows have given up meanwhile, so these may be refused.
    for (const std::size_t flow : flows) {
        EXPECT_FALSE(fleet.flow(flow).wasReset);
    }
    EXPECT_EQ(countAnswered(fleet, 12), 12U);
}
