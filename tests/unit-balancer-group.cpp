// Balancers in a minority of their failure domain leave the rotation, but only while another
// failure domain is available; otherwise no balancer would be left.

#include <bergamotglade/detail/membership/balancer_group.hpp>

#include <gtest/gtest.h>

#include <memory>
#include <set>

using namespace bergamotglade;

namespace {

constexpr Millis Step {20};
constexpr Millis Delay {1};

/// Balancers of several failure domains on a virtual clock; the first one of each domain is a seed.
struct GroupSimulation
{
    explicit GroupSimulation(const std::vector<std::pair<std::string, std::size_t>> &domains)
    {
        std::vector<Endpoint> seeds;
        std::uint32_t address = 1;
        for (const auto &[domain, count] : domains) {
            seeds.push_back({address, 7720});
            address += static_cast<std::uint32_t>(count);
        }
        address = 1;
        for (const auto &[domain, count] : domains) {
            for (std::size_t i = 0; i < count; ++i) {
                BalancerGroupSettings settings;
                settings.self = {address++, 7720};
                settings.domain = FailureDomainId(domain);
                settings.seeds = seeds;
                processes.push_back(make(settings));
            }
        }
    }

    struct Process
    {
        Endpoint self;
        std::unique_ptr<BalancerGroup> group;
        bool isRunning = true;
        bool able = true;
    };

    Process make(const BalancerGroupSettings &settings)
    {
        BalancerGroupHooks hooks;
        const Endpoint self = settings.self;
        hooks.send = [this, self](const Endpoint &to, const BalancerHeartbeat &heartbeat) {
            ++sent;
            if (!blockedLinks.contains({self, to})) {
                inFlight.emplace_back(to, heartbeat);
            }
        };
        return {self, std::make_unique<BalancerGroup>(settings, hooks, seededRandom(self.address))};
    }

    void runFor(Millis time)
    {
        for (const Instant end = now + time; now < end; now += Step) {
            std::vector<std::pair<Endpoint, BalancerHeartbeat>> due;
            due.swap(inFlight);
            for (auto &[to, heartbeat] : due) {
                for (Process &process : processes) {
                    if (process.self == to && process.isRunning) {
                        process.group->onHeartbeat(heartbeat, now + Delay);
                    }
                }
            }
            for (Process &process : processes) {
                if (process.isRunning) {
                    process.group->onTick(process.able, now);
                }
            }
        }
    }

    std::vector<bool> steppedDown()
    {
        std::vector<bool> result;
        for (Process &process : processes) {
            result.push_back(process.isRunning && process.group->shouldStepDown());
        }
        return result;
    }

    Instant now {Millis(1'000'000)};
    std::vector<Process> processes;
    std::set<std::pair<Endpoint, Endpoint>> blockedLinks;
    std::vector<std::pair<Endpoint, BalancerHeartbeat>> inFlight;
    std::size_t sent = 0;
};

using Flags = std::vector<bool>;

} // namespace

TEST(BalancerGroup, DiscoversItsNeighboursWithinThreeSeconds)
{
    GroupSimulation simulation({{"a", 3}, {"b", 2}});
    simulation.runFor(Millis(3000));
    EXPECT_EQ(simulation.processes[1].group->neighbourCount(), 3U);
    EXPECT_EQ(simulation.processes[4].group->neighbourCount(), 2U);
    EXPECT_EQ(simulation.steppedDown(), Flags(5, false));
}

TEST(BalancerGroup, MinorityStepsDownAndReturns)
{
    GroupSimulation simulation({{"a", 3}, {"b", 2}});
    simulation.runFor(Millis(3000));
    simulation.processes[0].isRunning = false;
    simulation.processes[1].isRunning = false;
    // The fabric detects the failure within a second; the balancer must be as fast.
    simulation.runFor(Millis(1000));
    EXPECT_EQ(simulation.steppedDown(), Flags({false, false, true, false, false}));
    simulation.processes[0].isRunning = true;
    simulation.runFor(Millis(500));
    EXPECT_EQ(simulation.steppedDown(), Flags(5, false));
}

TEST(BalancerGroup, RemoteFailureDomainsStayKnown)
{
    // Each heartbeat round reaches only two random balancers of other failure domains, which must
    // suffice to know that "b" is available when "c" fails with most of "a".
    GroupSimulation simulation({{"a", 3}, {"b", 2}, {"c", 2}});
    simulation.runFor(Millis(120'000));
    simulation.processes[0].isRunning = false;
    simulation.processes[1].isRunning = false;
    simulation.processes[5].isRunning = false;
    simulation.processes[6].isRunning = false;
    simulation.runFor(Millis(1200));
    EXPECT_TRUE(simulation.processes[2].group->shouldStepDown());
}

TEST(BalancerGroup, HalfOfAFailureDomainStaysInRotation)
{
    GroupSimulation simulation({{"a", 4}, {"b", 2}});
    simulation.runFor(Millis(3000));
    simulation.processes[0].isRunning = false;
    simulation.processes[1].isRunning = false;
    simulation.runFor(Millis(3000));
    EXPECT_EQ(simulation.steppedDown(), Flags(6, false));
}

TEST(BalancerGroup, StepsDownOnlyIfAnotherFailureDomainServes)
{
    GroupSimulation simulation({{"a", 3}, {"b", 3}});
    simulation.runFor(Millis(3000));
    for (const std::size_t i : {0U, 1U, 3U, 4U}) {
        simulation.processes[i].isRunning = false;
    }
    // Either failure domain may step down while the other serves, but not both beyond 2 s.
    for (int i = 0; i < 100; ++i) {
        simulation.runFor(Millis(100));
        if (i > 20) {
            EXPECT_FALSE(simulation.steppedDown()[2] && simulation.steppedDown()[5]);
        }
    }
    EXPECT_EQ(simulation.steppedDown(), Flags(6, false));
}

TEST(BalancerGroup, IsolatedBalancerStaysInRotation)
{
    // A balancer that receives no heartbeats cannot know whether another failure domain is
    // available.
    GroupSimulation simulation({{"a", 3}, {"b", 2}});
    simulation.runFor(Millis(3000));
    for (const auto &from : simulation.processes) {
        simulation.blockedLinks.insert({from.self, simulation.processes[2].self});
    }
    simulation.runFor(Millis(3000));
    EXPECT_FALSE(simulation.processes[2].group->shouldStepDown());
}

TEST(BalancerGroup, PausedBalancerDoesNotTreatOthersAsDown)
{
    // After the shorter pause the neighbours appear silent, but the heartbeats of the other failure
    // domain are not too old to count; after the longer one they are.
    for (const Millis pause : {Millis(1000), Millis(5000)}) {
        GroupSimulation simulation({{"a", 3}, {"b", 2}});
        simulation.runFor(Millis(3000));
        simulation.processes[2].isRunning = false;
        simulation.runFor(pause);
        // The timer runs before the heartbeats queued during the pause are read.
        simulation.processes[2].group->onTick(true, simulation.now);
        EXPECT_FALSE(simulation.processes[2].group->shouldStepDown()) << pause.count();
    }
}

TEST(BalancerGroup, ForgetsRemovedBalancers)
{
    GroupSimulation simulation({{"a", 3}, {"b", 2}});
    simulation.runFor(Millis(3000));
    simulation.processes[0].isRunning = false;
    simulation.processes[1].isRunning = false;
    // Longer than the retention of balancers that are down, which is 20 s.
    simulation.runFor(Millis(21'500));
    EXPECT_FALSE(simulation.processes[2].group->shouldStepDown());
    EXPECT_EQ(simulation.processes[2].group->neighbourCount(), 1U);
}

TEST(BalancerGroup, HeartbeatRateIsBoundedInLargeFailureDomains)
{
    GroupSimulation simulation({{"a", 60}, {"b", 60}});
    simulation.runFor(Millis(5000));
    const std::size_t before = simulation.sent;
    simulation.runFor(Millis(5000));
    // Each balancer sends four times a second to eight neighbours and two remote balancers; the
    // eleventh message allows for replies to new balancers.
    EXPECT_LE((simulation.sent - before) / 120, 5U * 4U * 11U);
}
