/// @file
/// A small steered fleet that most tests of steering start from.
#pragma once

#include "steering_fixture.hpp"

namespace bergamotglade::tests {

/// One service of three upstreams in two failure domains, one balancer.
struct Small : SteeringFleet
{
    explicit Small(double coldPerSecond = 0, std::size_t upstreams = 3)
    {
        publish(routesTo({{"kits", 1}}, coldPerSecond));
        for (std::size_t i = 0; i < upstreams; ++i) {
            addUpstream("kits", i == 0 ? "a" : "b");
        }
        addBalancer();
        runFor(Millis(3000));
    }

    void load(std::size_t flows, Millis gap = Millis(5))
    {
        for (std::size_t i = 0; i < flows; ++i) {
            openFlow(0);
            runFor(gap);
        }
        runFor(Millis(500));
    }
};

inline std::size_t answeredOf(SteeringFleet &fleet, std::size_t flows)
{
    std::size_t answered = 0;
    for (std::size_t i = 0; i < flows; ++i) {
        answered += fleet.flow(i).answered ? 1 : 0;
    }
    return answered;
}

} // namespace bergamotglade::tests
