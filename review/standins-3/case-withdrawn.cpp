// The agents are killed at the same moment, and a zone is taken back before they are up again; then
// the other zone with hosts is emptied.
#include "rig.hpp"

using namespace rig;

int main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    const bool isDisturbed = std::string(argv[3]) != "0";
    RigSettings settings;
    settings.balancersPerZone = 2;
    settings.zones = {"east", "north"};
    settings.perSecond = 100;
    settings.hasStaleSeeds = true;
    Rig fleet(argv[1], argv[2], settings);
    if (!fleet.start() || !fleet.waitReady()) {
        fleet.record("the case can't run: the processes are not ready");
        return 2;
    }
    fleet.restartsProcesses = true;
    fleet.restartDelay = 200;
    fleet.startTraffic();
    fleet.run(3000);
    fleet.store->put("op/evacuate/east", "{}");
    fleet.record("store accepts op/evacuate/east");
    fleet.run(6000);
    const std::uint64_t before = fleet.answered;
    const std::uint64_t lostBefore = fleet.failed;
    if (isDisturbed) {
        for (Daemon &daemon : fleet.daemons) {
            if (daemon.isAgent) {
                fleet.signalDaemon(daemon, SIGKILL);
                fleet.record("SIGKILL to " + daemon.name);
            }
        }
    }
    fleet.run(100);
    fleet.store->remove("op/evacuate/east");
    fleet.record("store accepts that east is taken back");
    fleet.run(6000);
    fleet.store->put("op/evacuate/north", "{}");
    fleet.record("store accepts op/evacuate/north");
    fleet.run(7000); // recovery_s, 12 s, have passed since the processes are back
    fleet.record("recovery_s have passed");
    const std::uint64_t answered = fleet.answered;
    const std::uint64_t failed = fleet.failed;
    fleet.run(8000);
    const double served = static_cast<double>(fleet.answered - answered);
    const double all = served + static_cast<double>(fleet.failed - failed);
    fleet.stopTraffic();
    fleet.run(2500);
    printf("before: answered %llu, not answered %llu; later than recovery_s after the processes "
           "are back: answered %.0f of %.0f\n",
           static_cast<unsigned long long>(before), static_cast<unsigned long long>(lostBefore),
           served, all);
    if (before < 300) {
        return 2;
    }
    return served < all / 4 ? 1 : 0;
}
