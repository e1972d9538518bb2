// The configuration raises idle_timeout_ms; flows that are idle for less are reset.

#include "flow_rule.hpp"

using namespace review;

int main(int, char **argv)
{
    World world(argv[1]);
    world.addBalancer("front-a-1", "zone-a");
    world.addBalancer("front-a-2", "zone-a");
    world.addHost("side-a-1", "zone-a", "orders");
    world.addHost("side-a-2", "zone-a", "orders");
    Client &client = world.addClient("zone-a");
    Configuration configuration;
    configuration.routes = {{world.routeAddress(1), "orders"}};
    configuration.services = {"orders"};
    world.store().put("op/config", configuration.json());
    for (const auto &host : world.hosts) {
        host->registerEntry();
    }
    if (!world.startAll()) {
        return CouldNotRun;
    }
    FlowRule rule(world, client, configuration.idleTimeoutMs);
    if (isTroubleOn()) {
        configuration.version = 5;
        configuration.idleTimeoutMs = 40'000;
        world.store().put("op/config", configuration.json());
        world.pump(5000);
        rule.setIdleTimeout(configuration.idleTimeoutMs);
    }

    constexpr int Flows = 8;
    for (int i = 0; i < Flows; ++i) {
        client.request(client.open("kept-" + std::to_string(i), world.routeAddress(1)));
        world.pump(50);
    }
    world.pump(1000);
    for (const auto &flow : client.flows) {
        if (flow->answers != 1) {
            world.record("not all flows opened");
            return CouldNotRun;
        }
    }
    // The pause between two requests.
    world.pump(20'000);
    for (const auto &flow : client.flows) {
        client.request(*flow);
        world.pump(50);
    }
    world.pump(4000);
    if (!world.areDaemonsAlive()) {
        return CouldNotRun;
    }
    int served = 0;
    for (const auto &flow : client.flows) {
        served += flow->answers == 2 ? 1 : 0;
    }
    world.record("flows: " + std::to_string(Flows) + ", served again: " + std::to_string(served)
                 + ", wrongly reset: " + std::to_string(rule.violations()));
    return rule.violations() > 0 ? Broken : Held;
}
