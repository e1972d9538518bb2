#include <bergamotglade/detail/membership/balancer_group.hpp>

#include <gtest/gtest.h>

#include <memory>
#include <set>

using namespace bergamotglade;

namespace {

constexpr Millis Step {20};
constexpr Millis Delay {1};

/// Balancers of several failure domains on a virtual clock; the first of each is a seed.
struct Groups
{
    explicit Groups(const std::vector<std::pair<std::string, std::size_t>> &domains)
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
                all.push_back(make(settings));
            }
        }
    }

    struct Process
    {
        Endpoint self;
        std::unique_ptr<BalancerGroup> group;
        bool runs = true;
        bool able = true;
    };

    Process make(const BalancerGroupSettings &settings)
    {
        BalancerGroupHooks hooks;
        const Endpoint self = settings.self;
        hooks.send = [this, self](const Endpoint &to, const BalancerHeartbeat &heartbeat) {
            ++sent;
            if (!cut.contains({self, to})) {
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
                for (Process &process : all) {
                    if (process.self == to && process.runs) {
                        process.group->onHeartbeat(heartbeat, now + Delay);
                    }
                }
            }
            for (Process &process : all) {
                if (process.runs) {
                    process.group->onTick(process.able, now);
                }
            }
        }
    }

    std::vector<bool> steppedDown()
    {
        std::vector<bool> result;
        for (Process &process : all) {
            result.push_back(process.runs && process.group->shouldStepDown());
        }
        return result;
    }

    Instant now {Millis(1'000'000)};
    std::vector<Process> all;
    std::set<std::pair<Endpoint, Endpoint>> cut;
    std::vector<std::pair<Endpoint, BalancerHeartbeat>> inFlight;
    std::size_t sent = 0;
};

using Down = std::vector<bool>;

} // namespace

TEST(BalancerGroup, DiscoversItsNeighboursWithinThreeSeconds)
{
    Groups groups({{"a", 3}, {"b", 2}});
    groups.runFor(Millis(3000));
    EXPECT_EQ(groups.all[1].group->neighbourCount(), 3U);
    EXPECT_EQ(groups.all[4].group->neighbourCount(), 2U);
    EXPECT_EQ(groups.steppedDown(), Down(5, false));
}

TEST(BalancerGroup, ALoneSurvivorStepsDownAndComesBack)
{
    Groups groups({{"a", 3}, {"b", 2}});
    groups.runFor(Millis(3000));
    groups.all[0].runs = false;
    groups.all[1].runs = false;
    // The fabric detects the failure within a second; the balancer must be as fast.
    groups.runFor(Millis(1000));
    EXPECT_EQ(groups.steppedDown(), Down({false, false, true, false, false}));
    groups.all[0].runs = true;
    groups.runFor(Millis(500));
    EXPECT_EQ(groups.steppedDown(), Down(5, false));
}

TEST(BalancerGroup, RemoteFailureDomainsStayKnown)
{
    Groups groups({{"a", 3}, {"b", 2}, {"c", 2}});
    groups.runFor(Millis(120'000));
    groups.all[0].runs = false;
    groups.all[1].runs = false;
    groups.all[5].runs = false;
    groups.all[6].runs = false;
    groups.runFor(Millis(1200));
    EXPECT_TRUE(groups.all[2].group->shouldStepDown());
}

TEST(BalancerGroup, HalfOfAFailureDomainStaysInRotation)
{
    Groups groups({{"a", 4}, {"b", 2}});
    groups.runFor(Millis(3000));
    groups.all[0].runs = false;
    groups.all[1].runs = false;
    groups.runFor(Millis(3000));
    EXPECT_EQ(groups.steppedDown(), Down(6, false));
}

TEST(BalancerGroup, NobodyStepsDownWithoutARefuge)
{
    Groups groups({{"a", 3}, {"b", 3}});
    groups.runFor(Millis(3000));
    for (const std::size_t i : {0U, 1U, 3U, 4U}) {
        groups.all[i].runs = false;
    }
    // Either failure domain may step down while the other serves, but not both beyond 2 s.
    for (int i = 0; i < 100; ++i) {
        groups.runFor(Millis(100));
        if (i > 20) {
            EXPECT_FALSE(groups.steppedDown()[2] && groups.steppedDown()[5]);
        }
    }
    EXPECT_EQ(groups.steppedDown(), Down(6, false));
}

TEST(BalancerGroup, IsolatedBalancerStaysInRotation)
{
    Groups groups({{"a", 3}, {"b", 2}});
    groups.runFor(Millis(3000));
    for (const auto &from : groups.all) {
        groups.cut.insert({from.self, groups.all[2].self});
    }
    groups.runFor(Millis(3000));
    EXPECT_FALSE(groups.all[2].group->shouldStepDown());
}

TEST(BalancerGroup, APausedBalancerDoesNotTakeTheOthersForDown)
{
    Groups groups({{"a", 3}, {"b", 2}});
    groups.runFor(Millis(3000));
    groups.all[2].runs = false;
    groups.runFor(Millis(5000));
    // The timer runs before the heartbeats queued during the pause are read.
    groups.all[2].group->onTick(true, groups.now);
    EXPECT_FALSE(groups.all[2].group->shouldStepDown());
}

TEST(BalancerGroup, ForgetsRemovedBalancers)
{
    Groups groups({{"a", 3}, {"b", 2}});
    groups.runFor(Millis(3000));
    groups.all[0].runs = false;
    groups.all[1].runs = false;
    groups.runFor(Millis(21'500));
    EXPECT_FALSE(groups.all[2].group->shouldStepDown());
    EXPECT_EQ(groups.all[2].group->neighbourCount(), 1U);
}

TEST(BalancerGroup, HeartbeatRateIsBoundedInLargeFailureDomains)
{
    Groups groups({{"a", 60}, {"b", 60}});
    groups.runFor(Millis(5000));
    const std::size_t before = groups.sent;
    groups.runFor(Millis(5000));
    // Eight neighbours and two remote balancers four times a second, and replies to first
    // heartbeats.
    EXPECT_LE((groups.sent - before) / 120, 5U * 4U * 11U);
}
