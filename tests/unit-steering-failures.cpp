// Upstreams, agents and balancers that fail, refuse or stand still.

#include "small_fleet.hpp"

#include <gtest/gtest.h>

using namespace bergamotglade;
using namespace bergamotglade::tests;

// Failures

TEST(SteeringFailures, OpeningsOfASilentUpstreamAreOfferedElsewhereSoon)
{
    Small fleet;
    fleet.upstream(0).dead = true;
    fleet.load(100);
    EXPECT_EQ(answeredOf(fleet, 100), 100U);
    for (std::size_t i = 0; i < 100; ++i) {
        EXPECT_LE(fleet.flow(i).answeredAt - fleet.flow(i).openedAt, Millis(150));
    }
}

TEST(SteeringFailures, OpeningsToADeadAgentAreOfferedElsewhereSoon)
{
    Small fleet;
    fleet.deadAgents.insert(1);
    fleet.load(100);
    EXPECT_EQ(answeredOf(fleet, 100), 100U);
    for (std::size_t i = 0; i < 100; ++i) {
        EXPECT_LE(fleet.flow(i).answeredAt - fleet.flow(i).openedAt, Millis(190));
    }
}

TEST(SteeringFailures, FlowsOfACrashedUpstreamAreResetSoTheCallerRetries)
{
    Small fleet;
    std::vector<std::size_t> flows;
    for (int i = 0; i < 30; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(50));
    fleet.upstream(0).dead = true;
    std::size_t held = 0;
    for (const std::size_t flow : flows) {
        if (fleet.upstreamOf(flow) == 0) {
            ++held;
            fleet.request(flow);
        }
    }
    fleet.load(200, Millis(10));
    EXPECT_GT(held, 0U);
    EXPECT_EQ(fleet.resets(), held);
}

TEST(SteeringFailures, FullUpstreamsPassOpeningsOnAndAllFullMeansAResetAtOnce)
{
    Small fleet;
    fleet.upstream(0).full = true;
    fleet.upstream(1).full = true;
    fleet.load(60, Millis(20));
    EXPECT_EQ(answeredOf(fleet, 60), 60U);
    fleet.upstream(2).full = true;
    const std::size_t refused = fleet.openFlow(0);
    fleet.runFor(Millis(30));
    EXPECT_TRUE(fleet.flow(refused).wasReset);
}

TEST(SteeringFailures, AnUpstreamThatRefusesFlowsGetsOnlyProbesUnderOverload)
{
    Small fleet;
    fleet.upstream(0).full = true;
    // 500 flows a second for the 400 that the other two can bear.
    fleet.load(500, Millis(2));
    // One refusal in 300 ms over the second and the tail, with what is on its way at each.
    EXPECT_LE(fleet.agent(0).counters().returned, 20U);
}

TEST(SteeringFailures, AnUpstreamThatTakesFlowsAgainIsUsedAgain)
{
    Small fleet;
    fleet.upstream(0).full = true;
    fleet.load(100);
    fleet.upstream(0).full = false;
    // One probe is enough: its outcome is known before the next would be due.
    fleet.load(200);
    const std::size_t before = fleet.upstream(0).openings.size();
    fleet.load(150);
    EXPECT_GT(fleet.upstream(0).openings.size() - before, 30U);
}

TEST(SteeringFailures, AnUpstreamThatResetsItsFlowsGetsOnlyProbes)
{
    Small fleet;
    fleet.upstream(1).resetsRequests = true;
    // An upstream that fails at once always looks idle.
    fleet.load(300);
    // Three resets to notice, then one probe every 300 ms for two seconds, with some slack.
    EXPECT_LE(fleet.resets(), 16U);
    EXPECT_EQ(answeredOf(fleet, 300) + fleet.resets(), 300U);
}

TEST(SteeringFailures, AnUpstreamThatStopsResettingItsFlowsIsUsedAgain)
{
    Small fleet;
    fleet.upstream(1).resetsRequests = true;
    fleet.load(200);
    fleet.upstream(1).resetsRequests = false;
    // Doubt at balancers ends, probes come back with answers.
    fleet.load(600);
    const std::size_t before = fleet.upstream(1).openings.size();
    fleet.load(300);
    EXPECT_GT(fleet.upstream(1).openings.size() - before, 60U);
}

TEST(SteeringFailures, UpstreamsThatAllResetTheirFlowsStayInUse)
{
    Small fleet;
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.upstream(i).resetsRequests = true;
    }
    fleet.load(300);
    std::size_t openings = 0;
    for (std::size_t i = 0; i < 3; ++i) {
        openings += fleet.upstream(i).openings.size();
    }
    // Doubt never takes a whole service away: every flow still reaches an upstream.
    EXPECT_GE(openings, 300U);
}

TEST(SteeringFailures, AStoppingAgentHandsOpeningsOnAndKeepsItsFlows)
{
    Small fleet;
    std::vector<std::size_t> flows;
    for (int i = 0; i < 12; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(50));
    const std::size_t before = fleet.upstream(0).openings.size();
    fleet.agent(0).stop(fleet.now());
    for (const std::size_t flow : flows) {
        fleet.request(flow);
    }
    fleet.load(100);
    EXPECT_EQ(fleet.upstream(0).openings.size(), before);
    EXPECT_EQ(answeredOf(fleet, 112), 112U);
}

// Pauses

TEST(SteeringPause, ABalancerThatMayNotActPlacesNothing)
{
    Small fleet;
    fleet.balancersMayAct = false;
    const std::size_t flow = fleet.openFlow(0);
    fleet.runFor(Millis(500));
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_TRUE(fleet.upstream(i).openings.empty());
    }
    EXPECT_FALSE(fleet.flow(flow).wasReset);
    fleet.balancersMayAct = true;
    fleet.runFor(Millis(200));
    EXPECT_TRUE(fleet.flow(flow).answered);
}

TEST(SteeringPause, AnAgentThatMayNotActTakesNothing)
{
    Small fleet;
    fleet.agentsMayAct = false;
    const std::size_t flow = fleet.openFlow(0);
    fleet.runFor(Millis(300));
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_TRUE(fleet.upstream(i).openings.empty());
    }
    fleet.agentsMayAct = true;
    fleet.runFor(Millis(700));
    EXPECT_TRUE(fleet.flow(flow).answered);
}

TEST(SteeringPause, AnAgentThatWakesDoesNotTakeItsUpstreamForCrashed)
{
    Small fleet;
    std::vector<std::size_t> flows;
    for (int i = 0; i < 12; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(100));
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.upstream(i).answerDelay = Millis(10);
    }
    // Requests and new flows are at the upstreams when the agents stop; the answers wait.
    for (const std::size_t flow : flows) {
        fleet.request(flow);
    }
    for (int i = 0; i < 6; ++i) {
        fleet.openFlow(0);
    }
    fleet.runFor(Millis(4));
    fleet.freezeAgents();
    fleet.runFor(Millis(4000));
    fleet.thawAgents();
    fleet.runFor(Millis(1000));
    // The callers of the six new flows have given up meanwhile; those may be refused.
    for (const std::size_t flow : flows) {
        EXPECT_FALSE(fleet.flow(flow).wasReset);
    }
    EXPECT_EQ(answeredOf(fleet, 12), 12U);
}
