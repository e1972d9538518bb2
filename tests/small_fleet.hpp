/// @file
/// Small simulated deployment that most steering tests use.
#pragma once

#include "steering_fixture.hpp"

namespace bergamotglade::tests {

/// One service with upstreams in two failure domains, and one balancer. The first upstream is in
/// domain "a", the others are in "b".
struct SmallFleet : SteeringFleet
{
    explicit SmallFleet(double coldPerSecond = 0, std::size_t upstreams = 3, std::uint64_t seed = 1)
        : SteeringFleet(seed)
    {
        publish(routeSection({{"kits", 1}}, coldPerSecond));
        for (std::size_t i = 0; i < upstreams; ++i) {
            addUpstream("kits", i == 0 ? "a" : "b");
        }
        addBalancer();
        // Longer than the settling time of the directories (2.5 s).
        runFor(Millis(3000));
    }

    /// @brief Opens flows at an interval, each with one request, and waits for the last answers.
    void openFlows(std::size_t flows, Millis gap = Millis(5))
    {
        for (std::size_t i = 0; i < flows; ++i) {
            openFlow(0);
            runFor(gap);
        }
        runFor(Millis(500));
    }
};

/// @brief Number of answered flows among the first `flows` of the fleet.
inline std::size_t countAnswered(SteeringFleet &fleet, std::size_t flows)
{
    std::size_t answered = 0;
    for (std::size_t i = 0; i < flows; ++i) {
        answered += fleet.flow(i).answered ? 1 : 0;
    }
    return answered;
}

} // namespace bergamotglade::tests
