// Open flows: owners, searches, stops, explanations.

#include "small_fleet.hpp"

#include <gtest/gtest.h>

#include <map>

using namespace bergamotglade;
using namespace bergamotglade::tests;

namespace {

/// Two agents that hand copies of the same flows to each other, one after the other.
struct CrossedNotes : Small
{
    CrossedNotes()
        : Small(0, 2)
    {
        // The first agent hands flows to the second, because its upstream leaves.
        publish(entryOf(0, true));
        publishAtBalancer(0, entryOf(0));
        for (int i = 0; i < 4; ++i) {
            flows.push_back(openFlow(0, true));
        }
        runFor(Millis(700));
        // Later the second one, started again, hands copies of them to the first.
        publish(entryOf(0));
        publish(entryOf(1, true));
        publishAtBalancer(0, entryOf(1));
        upstream(1).flows.clear();
        restartAgent(1);
        for (const std::size_t index : flows) {
            flow(index).open = false;
            resendOpening(index);
        }
    }

    [[nodiscard]] std::uint64_t passed()
    {
        return agent(0).counters().passedOn + agent(1).counters().passedOn;
    }

    /// Packets that agents pass on in the second after a request on each flow.
    std::uint64_t passedByRequests()
    {
        const std::uint64_t before = passed();
        for (const std::size_t index : flows) {
            flow(index).open = true;
            request(index);
        }
        runFor(Millis(1000));
        return passed() - before;
    }

    std::vector<std::size_t> flows;
};

} // namespace

// Open flows

TEST(SteeringFlows, SurviveAnotherBalancer)
{
    Small fleet(0, 6);
    fleet.addBalancer();
    std::vector<std::size_t> flows;
    for (int i = 0; i < 40; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(100));
    for (const std::size_t flow : flows) {
        fleet.flow(flow).balancer = 1;
        fleet.request(flow);
    }
    fleet.runFor(Millis(500));
    EXPECT_EQ(answeredOf(fleet, 40), 40U);
    EXPECT_EQ(fleet.resets(), 0U);
}

TEST(SteeringFlows, SurviveARestartOfTheirAgentAndBalancer)
{
    Small fleet(0, 6);
    std::vector<std::size_t> flows;
    for (int i = 0; i < 40; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(100));
    for (std::size_t i = 0; i < 6; ++i) {
        fleet.restartAgent(i);
    }
    fleet.restartBalancer(0);
    for (const std::size_t flow : flows) {
        fleet.request(flow);
    }
    fleet.runFor(Millis(500));
    EXPECT_EQ(answeredOf(fleet, 40), 40U);
    EXPECT_EQ(fleet.resets(), 0U);
}

TEST(SteeringFlows, OfAnUpstreamThatTheSearchingBalancerDoesNotKnowAreNotReset)
{
    Small fleet(0, 2);
    const std::size_t late = fleet.addUpstream("kits", "b");
    fleet.runFor(Millis(100));
    std::vector<std::size_t> flows;
    for (int i = 0; i < 20; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(100));
    // The other balancer and the agents lack the new upstream for a moment.
    const SectionChange entry = fleet.entryOf(late);
    SectionChange missing = entry;
    missing.removed = true;
    fleet.publish(missing);
    fleet.addBalancer();
    for (const std::size_t flow : flows) {
        fleet.flow(flow).balancer = 1;
        fleet.request(flow);
    }
    fleet.runFor(Millis(100));
    fleet.publish(entry);
    for (const std::size_t flow : flows) {
        fleet.request(flow);
    }
    fleet.runFor(Millis(500));
    EXPECT_EQ(fleet.resets(), 0U);
    EXPECT_EQ(answeredOf(fleet, 20), 20U);
}

TEST(SteeringFlows, AreFoundByABalancerThatKnowsAnUpstreamFromItsAgentOnly)
{
    Small fleet;
    std::vector<std::size_t> flows;
    for (int i = 0; i < 20; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(100));
    // A balancer that has just started: its order of the upstreams differs from the agents'.
    fleet.addBalancer(false);
    fleet.publishAtBalancer(1, SteeringFleet::routesTo({{"kits", 1}}));
    fleet.publishAtBalancer(1, fleet.entryOf(1));
    fleet.publishAtBalancer(1, fleet.entryOf(2));
    fleet.announceAtBalancer(1, 0);
    for (const std::size_t flow : flows) {
        fleet.flow(flow).balancer = 1;
        fleet.request(flow);
    }
    fleet.runFor(Millis(200));
    for (const std::size_t flow : flows) {
        fleet.request(flow);
    }
    fleet.runFor(Millis(200));
    EXPECT_EQ(fleet.resets(), 0U);
    EXPECT_EQ(answeredOf(fleet, 20), 20U);
}

TEST(SteeringFlows, ThatNobodyHoldsAreResetAtTheSecondSearch)
{
    Small fleet;
    const std::size_t flow = fleet.openFlow(0, true);
    fleet.runFor(Millis(50));
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.upstream(i).flows.clear();
    }
    fleet.request(flow);
    fleet.runFor(Millis(100));
    EXPECT_FALSE(fleet.flow(flow).wasReset);
    fleet.runFor(Millis(100));
    fleet.request(flow);
    fleet.runFor(Millis(100));
    EXPECT_TRUE(fleet.flow(flow).wasReset);
}

TEST(SteeringFlows, AreNotResetWhileAHolderCannotBeAsked)
{
    Small fleet;
    const std::size_t flow = fleet.openFlow(0, true);
    fleet.runFor(Millis(50));
    const std::size_t owner = fleet.upstreamOf(flow);
    fleet.deadAgents.insert(owner);
    fleet.restartBalancer(0);
    for (int i = 0; i < 5; ++i) {
        fleet.request(flow);
        fleet.runFor(Millis(200));
    }
    EXPECT_FALSE(fleet.flow(flow).wasReset);
    fleet.deadAgents.clear();
    fleet.request(flow);
    fleet.runFor(Millis(200));
    EXPECT_TRUE(fleet.flow(flow).answered);
}

TEST(SteeringFlows, OfASlowUpstreamAreNotReset)
{
    Small fleet(0, 1);
    fleet.upstream(0).work = Millis(3000);
    const std::size_t flow = fleet.openFlow(0);
    fleet.runFor(Millis(3500));
    EXPECT_TRUE(fleet.flow(flow).answered);
    EXPECT_FALSE(fleet.flow(flow).wasReset);
}

TEST(SteeringFlows, PacketsDoNotCircleBetweenAgentsThatHandedAFlowToEachOther)
{
    CrossedNotes fleet;
    fleet.runFor(Millis(100));
    EXPECT_LE(fleet.passedByRequests(), fleet.flows.size() * 20);
}

TEST(SteeringFlows, PacketsDoNotCircleBetweenNotesThatPointAtEachOther)
{
    CrossedNotes fleet;
    // The first sends them back by its older note, and they are lost: both notes stay.
    fleet.runFor(Millis(3));
    fleet.deadAgents.insert(1);
    fleet.runFor(Millis(3));
    fleet.deadAgents.erase(1);
    EXPECT_LE(fleet.passedByRequests(), fleet.flows.size() * 20);
}

TEST(SteeringFlows, ThatWereSearchedGoStraightToTheirOwnerAfterwards)
{
    Small fleet(0, 6);
    std::vector<std::size_t> flows;
    for (int i = 0; i < 40; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(100));
    fleet.restartBalancer(0);
    for (const std::size_t flow : flows) {
        fleet.request(flow);
    }
    fleet.runFor(Millis(300));
    const std::uint64_t searched = fleet.balancer(0).counters().searched;
    EXPECT_GT(searched, 0U);
    for (const std::size_t flow : flows) {
        fleet.request(flow);
    }
    fleet.runFor(Millis(300));
    EXPECT_EQ(fleet.balancer(0).counters().searched, searched);
    EXPECT_EQ(answeredOf(fleet, 40), 40U);
}

// Stop

TEST(SteeringStop, DoesNotWaitForFlowsThatNoEndUsesAnyMore)
{
    Small fleet;
    for (int i = 0; i < 12; ++i) {
        fleet.openFlow(0, true);
    }
    fleet.runFor(Millis(50));
    fleet.agent(0).stop(fleet.now());
    EXPECT_GT(fleet.agent(0).openCount(fleet.now()), 0U);
    fleet.runFor(Millis(2000));
    EXPECT_EQ(fleet.agent(0).openCount(fleet.now()), 0U);
}

// Explanations

TEST(SteeringExplain, BalancerAndAgentTellWhereAFlowIs)
{
    Small fleet;
    const std::size_t flow = fleet.openFlow(0, true);
    fleet.runFor(Millis(50));
    const FlowKey key = fleet.flow(flow).key;
    const std::size_t owner = fleet.upstreamOf(flow);
    const FlowExplanation balancer = fleet.balancer(0).explain(key, fleet.now());
    EXPECT_EQ(balancer.stage, "open");
    EXPECT_EQ(balancer.target, fleet.upstream(owner).agent);
    EXPECT_EQ(balancer.tried, std::vector<Endpoint> {fleet.upstream(owner).agent});
    EXPECT_EQ(balancer.candidates.size(), 3U);
    EXPECT_EQ(fleet.agent(owner).explain(key, fleet.now()).stage, "open");
    const FlowExplanation other = fleet.agent((owner + 1) % 3).explain(key, fleet.now());
    EXPECT_EQ(other.stage, "not known here");
    EXPECT_FALSE(other.known);
}

TEST(SteeringExplain, AnAgentKnowsFlowsThatWaitForASlot)
{
    Small fleet(0, 1);
    fleet.upstream(0).work = Millis(400);
    std::vector<std::size_t> flows;
    for (int i = 0; i < 12; ++i) {
        flows.push_back(fleet.openFlow(0));
        fleet.runFor(Millis(5));
    }
    const FlowExplanation last = fleet.agent(0).explain(fleet.flow(flows.back()).key, fleet.now());
    EXPECT_EQ(last.stage, "waits for a slot");
    EXPECT_TRUE(last.known);
    EXPECT_TRUE(fleet.balancer(0).explain(fleet.flow(flows.back()).key, fleet.now()).known);
}

TEST(SteeringExplain, CandidatesSayWhyTheyGetNoFlows)
{
    Small fleet;
    fleet.publish(fleet.entryOf(2, true));
    fleet.publish(SteeringFleet::domainOut("a"));
    const FlowKey key {Endpoint {1, 1}, SteeringFleet::RouteAddress};
    std::map<Endpoint, std::string_view> states;
    for (const FlowCandidate &c : fleet.balancer(0).explain(key, fleet.now()).candidates) {
        states[c.agent] = c.state;
    }
    EXPECT_EQ(states[fleet.upstream(0).agent], "failure domain is out");
    EXPECT_EQ(states[fleet.upstream(1).agent], "takes flows");
    EXPECT_EQ(states[fleet.upstream(2).agent], "upstream is leaving");
    const FlowKey nowhere {key.caller, Endpoint {2, 2}};
    EXPECT_EQ(fleet.balancer(0).explain(nowhere, fleet.now()).stage, "no route");
}
