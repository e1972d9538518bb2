// More new flows than the upstreams can serve.

#include "small_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>

using namespace bergamotglade;
using namespace bergamotglade::tests;

TEST(SteeringOverload, FlowThatIsHandedBackIsSoonAnsweredOrReset)
{
    // Both upstreams refuse flows, and the second agent can hand off only to the first.
    SmallFleet fleet(0, 2);
    fleet.upstream(0).refusesFlows = true;
    fleet.upstream(1).refusesFlows = true;
    const std::size_t flow = fleet.openFlow(0);
    fleet.runFor(Millis(3));
    fleet.upstream(0).refusesFlows = false;
    fleet.upstream(1).refusesFlows = false;
    fleet.runFor(Millis(150));
    EXPECT_TRUE(fleet.flow(flow).answered || fleet.flow(flow).wasReset);
}

TEST(SteeringOverload, FlowsThatCanMeetTheirObjectiveAreServedBeforeLateOnes)
{
    SmallFleet fleet(0, 2);
    fleet.upstream(0).serviceTime = Millis(40);
    fleet.upstream(1).serviceTime = Millis(40);
    // The capacity is 200 flows per second. A backlog of 150 arrives at once, then one flow every
    // 7 ms for about two seconds.
    constexpr std::size_t Backlog = 150;
    constexpr std::size_t Fresh = 300;
    for (std::size_t i = 0; i < Backlog; ++i) {
        fleet.openFlow(0);
    }
    fleet.runFor(Millis(300));
    for (std::size_t i = 0; i < Fresh; ++i) {
        fleet.openFlow(0);
        fleet.runFor(Millis(7));
    }
    fleet.runFor(Millis(1500));
    std::size_t inTime = 0;
    for (std::size_t i = Backlog; i < Backlog + Fresh; ++i) {
        const CallerFlow &flow = fleet.flow(i);
        inTime += flow.answered && flow.answeredAt - flow.openedAt <= Millis(250) ? 1 : 0;
    }
    EXPECT_GE(inTime, Fresh * 9 / 10);
    EXPECT_GE(countAnswered(fleet, Backlog), Backlog / 4);
}

TEST(SteeringOverload, QueuedFlowsAreOfferedOnce)
{
    // Without a load report from the agent that queued a flow, the balancer would offer the flow to
    // the other agent as well.
    SmallFleet fleet(0, 2);
    fleet.upstream(0).serviceTime = Millis(100);
    fleet.upstream(1).serviceTime = Millis(100);
    for (int i = 0; i < 60; ++i) {
        fleet.openFlow(0);
        fleet.runFor(Millis(7));
    }
    fleet.runFor(Millis(1300));
    std::vector<FlowKey> opened = fleet.upstream(0).openedFlows;
    opened.insert(opened.end(), fleet.upstream(1).openedFlows.begin(),
                  fleet.upstream(1).openedFlows.end());
    const std::size_t all = opened.size();
    std::sort(opened.begin(), opened.end());
    opened.erase(std::unique(opened.begin(), opened.end()), opened.end());
    EXPECT_EQ(opened.size(), all);
    EXPECT_EQ(fleet.balancer(0).counters().flowsReoffered, 0U);
}

TEST(SteeringOverload, FlowsOfCallersThatGaveUpOccupyNoSlots)
{
    SmallFleet fleet(0, 1);
    for (int i = 0; i < 40; ++i) {
        const std::size_t flow = fleet.openFlow(0, true);
        // The fixture sends nothing more on a flow that it considers open, as if the caller had
        // given up.
        fleet.flow(flow).open = true;
    }
    fleet.runFor(Millis(2000));
    for (int i = 0; i < 40; ++i) {
        fleet.openFlow(0);
        fleet.runFor(Millis(10));
    }
    fleet.runFor(Millis(500));
    std::size_t answered = 0;
    for (std::size_t i = 40; i < 80; ++i) {
        answered += fleet.flow(i).answered ? 1 : 0;
    }
    EXPECT_EQ(answered, 40U);
}
