// The last step of a move by weights gives a service the weight 0; then a zone is emptied and taken
// back.
#include "rig.hpp"

using namespace rig;

int main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    const bool isDisturbed = std::string(argv[3]) != "0";
    RigSettings settings;
    settings.otherHostsPerZone = 1;
    settings.otherWeight = 10;
    settings.perSecond = 240;
    settings.coldPerSecond = 5;
    settings.coldStartSeconds = 4;
    Rig fleet(argv[1], argv[2], settings);
    if (!fleet.start() || !fleet.waitReady()) {
        fleet.record("the case can't run: the processes are not ready");
        return 2;
    }
    const Ms configApplyMs = 5000;
    Ms acceptedAt = 0;
    std::uint64_t before = 0;
    std::uint64_t late = 0;
    for (const auto &host : fleet.hosts) {
        if (host->service() == fleet.otherService) {
            host->onTaken = [&, name = host->name()](const Packet &p) {
                ++before;
                const Ms sentAt = fleet.attempts.at(p.src)->sentAt;
                if (acceptedAt != 0 && sentAt > acceptedAt + configApplyMs) {
                    ++late;
                    fleet.record("CONFIG: " + name + " of " + fleet.otherService
                                 + " takes a flow of " + p.src.str() + ", "
                                 + std::to_string(sentAt - acceptedAt)
                                 + " ms after the version that gives it the weight 0");
                }
            };
        }
    }
    fleet.startTraffic();
    fleet.run(3000);
    fleet.writeConfig(8, fleet.splitTarget(100, 0));
    acceptedAt = nowMs();
    fleet.record("store accepts version 8: " + fleet.splitTarget(100, 0));
    fleet.run(6000);
    const std::string zone = "east";
    if (isDisturbed) {
        fleet.store->put("op/evacuate/" + zone, "{}");
        fleet.record("store accepts op/evacuate/" + zone);
    }
    fleet.run(8000);
    if (isDisturbed) {
        for (const auto &host : fleet.hosts) {
            if (host->zone() == zone) {
                host->becomeCold();
            }
        }
        fleet.run(500);
        fleet.store->remove("op/evacuate/" + zone);
        fleet.record("store accepts that " + zone + " is taken back");
    }
    fleet.run(6000);
    fleet.stopTraffic();
    fleet.run(2500);
    printf("answered %llu, not answered %llu, flows taken by the other service: %llu with its "
           "weight of 10, %llu later than config_apply_ms after it got the weight 0\n",
           static_cast<unsigned long long>(fleet.answered),
           static_cast<unsigned long long>(fleet.failed),
           static_cast<unsigned long long>(before - late), static_cast<unsigned long long>(late));
    if (fleet.answered < 500) {
        return 2;
    }
    return late > 0 ? 1 : 0;
}
