// The settings state a bound as a fraction, and the processes are stopped and started in turn.
#include "rig.hpp"

using namespace rig;

int main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    const bool isDisturbed = std::string(argv[3]) != "0";
    Rig fleet(argv[1], argv[2], {});
    fleet.settings.perSecond = 60;
    if (!fleet.start() || !fleet.waitReady()) {
        fleet.record("the case can't run: the processes are not ready");
        return 2;
    }
    fleet.restartsProcesses = true;
    fleet.startTraffic();
    fleet.run(4000);
    const std::uint64_t before = fleet.answered;
    const std::uint64_t lostBefore = fleet.failed;
    if (isDisturbed) {
        fleet.settings.maxFlowSeconds = "62.5";
        fleet.record("the settings change: max_flow_s is 62.5");
    }
    for (Daemon &daemon : fleet.daemons) {
        fleet.signalDaemon(daemon, SIGTERM);
        fleet.record("SIGTERM to " + daemon.name);
        fleet.run(2500);
    }
    fleet.run(12000); // recovery_s
    const std::uint64_t answered = fleet.answered;
    const std::uint64_t failed = fleet.failed;
    const std::uint64_t failedStarts = fleet.failedStarts;
    fleet.run(6000);
    fleet.stopTraffic();
    fleet.run(2500);
    const double served = static_cast<double>(fleet.answered - answered);
    const double all = served + static_cast<double>(fleet.failed - failed);
    printf("before: answered %llu, not answered %llu; later than recovery_s after the restarts: "
           "answered %.0f of %.0f; processes that ended by themselves within a second: %llu\n",
           static_cast<unsigned long long>(before), static_cast<unsigned long long>(lostBefore),
           served, all, static_cast<unsigned long long>(failedStarts));
    if (before < 100) {
        return 2;
    }
    return served < all / 4 || failedStarts > 0 ? 1 : 0;
}
