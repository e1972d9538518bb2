// One lost opening packet makes an agent reset flows that its upstream holds and works on.

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

    // Clients keep flows open for many requests, with pauses between them.
    constexpr int Flows = 12;
    constexpr int AnswerPackets = 8;
    for (int i = 0; i < Flows; ++i) {
        client.request(client.open("kept-" + std::to_string(i), world.routeAddress(1)));
        world.pump(60);
    }
    world.pump(500);
    for (const auto &flow : client.flows) {
        if (flow->answers != 1) {
            world.record("not all flows opened");
            return CouldNotRun;
        }
    }
    // Four flows carry a request that takes the host three seconds; on the others, answers of
    // eight packets arrive, of which the client acknowledges every second one.
    constexpr int LongRequests = 4;
    for (const auto &host : world.hosts) {
        host->workMs = 3000;
    }
    for (int i = 0; i < LongRequests; ++i) {
        client.request(*client.flows[static_cast<std::size_t>(i)]);
    }
    world.pump(1000);
    for (const auto &host : world.hosts) {
        host->workMs = 5;
    }
    for (int i = LongRequests; i < Flows; ++i) {
        client.request(*client.flows[static_cast<std::size_t>(i)], AnswerPackets);
    }
    world.pump(800);

    // One client opens a new flow, and its first opening packet is lost on the way to the host.
    for (const auto &host : world.hosts) {
        host->openingsToLose = isTroubleOn() ? 1 : 0;
    }
    ClientFlow &late = client.open("late", world.routeAddress(1));
    client.request(late);
    const auto lost = [&] {
        return world.hosts[0]->openingsLost + world.hosts[1]->openingsLost;
    };
    world.pumpUntil([&] { return lost() > 0 || late.answers > 0; }, 1000);
    for (const auto &host : world.hosts) {
        host->openingsToLose = 0;
    }
    if (isTroubleOn() && lost() != 1) {
        world.record("no opening packet was lost");
        return CouldNotRun;
    }
    world.pump(4000);

    // The next requests on the flows that are left.
    for (int i = 0; i < Flows; ++i) {
        ClientFlow &flow = *client.flows[static_cast<std::size_t>(i)];
        if (flow.state == ClientFlow::State::Open && !flow.request) {
            client.request(flow);
        }
    }
    world.pump(3000);
    if (!world.areDaemonsAlive()) {
        return CouldNotRun;
    }
    int unanswered = 0;
    for (const auto &flow : client.flows) {
        unanswered += flow->requests - flow->answers;
    }
    world.record("flows kept open: " + std::to_string(Flows)
                 + ", wrongly reset: " + std::to_string(rule.violations())
                 + ", requests that stayed without an answer: " + std::to_string(unanswered)
                 + ", opening packets lost: " + std::to_string(lost()));
    return rule.violations() > 0 ? Broken : Held;
}
