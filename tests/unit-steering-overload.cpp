// More new flows than the upstreams bear.

#include "small_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>

using namespace bergamotglade;
using namespace bergamotglade::tests;

// Overload

TEST(SteeringOverload, AFlowThatIsHandedBackIsTakenAndNotSentAroundAgain)
{
    // Two upstreams that each hand on: the second one has nobody else than the first.
    Small fleet(0, 2);
    fleet.upstream(0).full = true;
    fleet.upstream(1).full = true;
    const std::size_t flow = fleet.openFlow(0);
    fleet.runFor(Millis(3));
    fleet.upstream(0).full = false;
    fleet.upstream(1).full = false;
    fleet.runFor(Millis(150));
    EXPECT_TRUE(fleet.flow(flow).answered || fleet.flow(flow).wasReset);
}

TEST(SteeringOverload, FlowsThatCanBeInTimeComeBeforeThoseThatAreLate)
{
    Small fleet(0, 2);
    fleet.upstream(0).work = Millis(40);
    fleet.upstream(1).work = Millis(40);
    // 200 a second fit; a backlog of 150 comes at once, then 150 a second for two seconds.
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
    EXPECT_GE(answeredOf(fleet, Backlog), Backlog / 4);
}

TEST(SteeringOverload, FlowsThatWaitAreOfferedOnce)
{
    Small fleet(0, 2);
    fleet.upstream(0).work = Millis(100);
    fleet.upstream(1).work = Millis(100);
    for (int i = 0; i < 60; ++i) {
        fleet.openFlow(0);
        fleet.runFor(Millis(7));
    }
    fleet.runFor(Millis(1300));
    std::vector<FlowKey> opened = fleet.upstream(0).opened;
    opened.insert(opened.end(), fleet.upstream(1).opened.begin(), fleet.upstream(1).opened.end());
    const std::size_t all = opened.size();
    std::sort(opened.begin(), opened.end());
    opened.erase(std::unique(opened.begin(), opened.end()), opened.end());
    EXPECT_EQ(opened.size(), all);
    EXPECT_EQ(fleet.balancer(0).counters().reoffered, 0U);
}

TEST(SteeringOverload, CallersThatGaveUpHoldNoSlot)
{
    Small fleet(0, 1);
    for (int i = 0; i < 40; ++i) {
        const std::size_t flow = fleet.openFlow(0, true);
        // Looks open to the fixture: the caller is gone and answers nothing.
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
