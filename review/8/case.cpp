// Configurations in quick succession, each with one more route, while balancers are stopped and
// started in turn: flows on a route that was just added move to a balancer that does not know the
// route yet, which resets them although they are open.

#include "../standins-2/harness.hpp"

using namespace review;

namespace {

constexpr std::int64_t FirstStorm = 8'000;
constexpr std::int64_t LastStorm = 92'000;
constexpr std::int64_t StormGap = 330; // between two versions of a config_storm
constexpr std::int64_t RollGap = 1'000; // between two balancers of a roll_term
constexpr std::int64_t End = 98'000;
constexpr std::int64_t MaxFlowAge = 60'000;

int run(const std::string &recordFile, bool trouble)
{
    World world(recordFile);
    const std::vector<std::string> zones {"tal-nord", "tal-mitte", "tal-sued"};
    std::vector<std::string> addresses {"127.83.0.1"};
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::vector<Daemon *> balancers;
    std::vector<Daemon *> agents;
    for (std::size_t i = 0; i < 9; ++i) {
        addresses.push_back("127.81.0." + std::to_string(i + 1));
        daemons.push_back(std::make_unique<Daemon>(world, "frontend-" + std::to_string(i + 1),
                                                   addresses.back(), zones[i % 3]));
        balancers.push_back(daemons.back().get());
    }
    for (std::size_t i = 0; i < 12; ++i) {
        addresses.push_back("127.82.0." + std::to_string(i + 1));
        daemons.push_back(std::make_unique<Daemon>(world, "side-" + std::to_string(i + 1),
                                                   addresses.back(), zones[i % 3]));
        daemons.back()->service = "kartendienst";
        agents.push_back(daemons.back().get());
    }
    for (int i = 1; i <= 3; ++i) {
        addresses.push_back("127.84.0." + std::to_string(i));
    }
    world.choosePorts(addresses);
    Store store(world, "127.83.0.1");
    std::vector<std::unique_ptr<Host>> hosts;
    for (std::size_t i = 0; i < agents.size(); ++i) {
        hosts.push_back(std::make_unique<Host>(world, store, *agents[i], "kartendienst", 20));
        hosts.back()->start("i-" + std::to_string(1000 + i));
        hosts.back()->workMs = 10;
    }
    std::vector<Route> routes {{"first", address("127.85.0.1", 443), "kartendienst"}};
    std::uint64_t version = 3;
    store.put("op/config", config(version, routes, {"kartendienst"}));
    const std::vector<std::string> seeds {balancers[0]->ip, balancers[1]->ip, balancers[2]->ip};
    for (const auto &daemon : daemons) {
        daemon->start("127.83.0.1", seeds, true);
    }
    Fabric fabric(world, balancers);
    std::vector<std::unique_ptr<Clients>> clients;
    std::uint64_t broken = 0;
    const auto isHeld = [&](const FlowId &flow) {
        return std::any_of(hosts.begin(), hosts.end(),
                           [&](const auto &host) { return host->holdsOpen(flow); });
    };
    for (std::size_t i = 0; i < 3; ++i) {
        clients.push_back(std::make_unique<Clients>(world, fabric,
                                                    "127.84.0." + std::to_string(i + 1), zones[i]));
        clients.back()->onResetOfOpenFlow = [&, i](const FlowId &flow, const Packet &,
                                                   std::int64_t openedAt, bool inWindow) {
            if (inWindow && isHeld(flow) && world.now() - openedAt <= MaxFlowAge) {
                ++broken;
                const Daemon *balancer = fabric.select(flow, zones[i]);
                world.note("BROKEN FLOW: the system reset open flow " + flow.str()
                           + ", which its host holds; balancer "
                           + (balancer == nullptr ? "none" : balancer->name) + ", open for "
                           + std::to_string(world.now() - openedAt) + " ms");
            }
        };
    }
    // Each version adds a route.
    std::int64_t newestAt = 0;
    const auto addRoute = [&] {
        Route route {"r" + std::to_string(routes.size()),
                     address("127.85.1.1", static_cast<std::uint16_t>(1000 + routes.size())),
                     "kartendienst"};
        routes.push_back(route);
        version += 3;
        world.note("operator: version " + std::to_string(version) + " adds " + route.address.str());
        store.put("op/config", config(version, routes, {"kartendienst"}));
        newestAt = world.now();
    };
    for (std::int64_t at = FirstStorm; at < LastStorm; at += StormGap) {
        if (trouble) {
            world.at(at, addRoute);
        }
    }
    // roll_term, one at a time: zone after zone.
    std::size_t next = 0;
    for (std::int64_t at = FirstStorm + 300; at < LastStorm; at += RollGap) {
        const std::size_t index = next++ % balancers.size();
        world.at(at, [&balancers, index] {
            if (balancers[index]->isRunning() && !balancers[index]->planned) {
                balancers[index]->roll();
            }
        });
    }
    // Clients begin on a route as soon as the store has acknowledged it.
    for (std::int64_t at = 5'000; at < 96'000; at += 10) {
        world.at(at, [&] {
            const bool isNew = newestAt != 0 && world.now() - newestAt < 600;
            for (const auto &each : clients) {
                if (isNew || world.now() % 100 < 10) {
                    each->open(routes.back().address, 8, 50);
                }
            }
        });
    }
    bool ended = false;
    world.ticks.push_back([&](std::int64_t) {
        for (const auto &daemon : daemons) {
            ended = daemon->reap() || ended;
        }
    });
    world.run(End);
    std::uint64_t sent = 0, answered = 0, failed = 0;
    for (const auto &each : clients) {
        sent += each->sent, answered += each->answered, failed += each->failed;
    }
    world.note("sent " + std::to_string(sent) + ", answered " + std::to_string(answered)
               + ", failed " + std::to_string(failed) + "; open flows reset "
               + std::to_string(broken));
    if (answered * 2 < sent || ended) {
        throw CannotRun("the deployment did not serve");
    }
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    const char *setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string(setting) != "0";
    try {
        return run(argc > 1 ? argv[1] : "record.txt", trouble);
    } catch (const std::exception &error) {
        std::cerr << "cannot run: " << error.what() << "\n";
        return 2;
    }
}
