// Compares the placement of steered connections with three baselines, on a virtual clock: seven
// upstreams whose speeds differ by a factor of up to five and are not configured, three balancers,
// new flows at random times, no retries.
//
//     steering-placement [SECONDS]        prints a table in Markdown

#include <steering_fixture.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iomanip>
#include <iostream>

using namespace bergamotglade;
using namespace bergamotglade::tests;

namespace {

constexpr std::size_t Balancers = 3;
constexpr std::uint32_t Slots = 9;
constexpr double MillisPerSecond = 1000;
/// Latency objective of a request, as in the routes of the fixture.
constexpr Millis LatencyObjective {250};
/// Load reports and measured service times settle during this time; its flows are not counted.
constexpr double WarmUpSeconds = 3;
/// Flows that are open at the end may still be answered during this time.
constexpr Millis DrainTime {2000};
constexpr std::array<int, 7> ServiceTimesMs {28, 32, 40, 48, 56, 80, 132};

enum class Policy {
    Product,
    Uniform, ///< a random upstream
    Rendezvous, ///< the upstream with the highest hash of flow and upstream
    LeastOfTwo, ///< of two random upstreams the one with fewer open flows of the same balancer
};

double flowsPerSecondMax()
{
    double perSecond = 0;
    for (const int serviceTimeMs : ServiceTimesMs) {
        perSecond += Slots * MillisPerSecond / serviceTimeMs;
    }
    return perSecond;
}

struct Outcome
{
    double inTime = 0; ///< share of flows answered within the objective
    double answered = 0; ///< share of flows answered
    Millis p50; ///< of the answered flows, like p99
    Millis p99;
};

/// One simulation of a policy at a rate of new flows.
class Simulation
{
public:
    Simulation(Policy policy, std::uint64_t seed)
        : m_policy(policy)
        , m_fleet(seed)
        , m_random(seededRandom(seed))
    {
        m_fleet.publish(SteeringFleet::routeSection({{"kits", 1}}));
        for (std::size_t i = 0; i < ServiceTimesMs.size(); ++i) {
            m_fleet.addUpstream("kits", std::string(1, static_cast<char>('a' + i % Balancers)),
                                false);
            m_fleet.upstream(i).slots = Slots;
            m_fleet.upstream(i).serviceTime = Millis(ServiceTimesMs[i]);
            m_fleet.publish(m_fleet.upstreamSection(i));
        }
        for (std::size_t i = 0; i < Balancers; ++i) {
            m_fleet.addBalancer();
        }
        if (policy != Policy::Product) {
            m_fleet.chooseUpstream = [this](std::size_t flow) {
                return place(flow);
            };
        }
        // Longer than the settling time of the directories (2.5 s).
        m_fleet.runFor(Millis(3000));
    }

    Outcome run(double perSecond, double seconds)
    {
        double atMs = 0;
        const double endMs = (WarmUpSeconds + seconds) * MillisPerSecond;
        std::size_t firstCounted = 0;
        while (atMs < endMs) {
            const double intervalMs = -std::log(uniform()) * MillisPerSecond / perSecond;
            const auto previousMs = static_cast<std::int64_t>(atMs);
            atMs += intervalMs;
            m_fleet.runFor(Millis(static_cast<std::int64_t>(atMs) - previousMs));
            const std::size_t flow = m_fleet.openFlow(randomBelow(m_random, Balancers));
            m_flows = flow + 1;
            firstCounted = atMs < WarmUpSeconds * MillisPerSecond ? m_flows : firstCounted;
        }
        m_fleet.runFor(DrainTime);
        return outcomeOf(firstCounted);
    }

private:
    double uniform()
    {
        constexpr std::uint64_t Steps = 1U << 30U;
        return (static_cast<double>(randomBelow(m_random, Steps)) + 1) / static_cast<double>(Steps);
    }

    std::size_t place(std::size_t flow)
    {
        const std::size_t count = ServiceTimesMs.size();
        if (m_policy == Policy::Uniform) {
            return randomBelow(m_random, count);
        }
        if (m_policy == Policy::Rendezvous) {
            const std::uint64_t hash = m_fleet.flow(flow).key.hash();
            std::size_t best = 0;
            for (std::size_t i = 1; i < count; ++i) {
                if (hashPair(hash, i) > hashPair(hash, best)) {
                    best = i;
                }
            }
            return best;
        }
        const std::size_t balancer = m_fleet.flow(flow).balancer;
        const std::size_t a = randomBelow(m_random, count);
        const std::size_t b = (a + 1 + randomBelow(m_random, count - 1)) % count;
        const std::size_t chosen = openFlows(balancer, a) <= openFlows(balancer, b) ? a : b;
        m_open[balancer][chosen].push_back(flow);
        return chosen;
    }

    std::size_t openFlows(std::size_t balancer, std::size_t upstream)
    {
        auto &flows = m_open[balancer][upstream];
        std::erase_if(flows, [this](std::size_t flow) { return m_fleet.flow(flow).answered; });
        return flows.size();
    }

    Outcome outcomeOf(std::size_t firstCounted)
    {
        std::vector<Millis> times;
        Outcome outcome;
        for (std::size_t i = firstCounted; i < m_flows; ++i) {
            const CallerFlow &flow = m_fleet.flow(i);
            if (flow.answered) {
                times.push_back(flow.answeredAt - flow.openedAt);
                outcome.inTime += times.back() <= LatencyObjective ? 1 : 0;
            }
        }
        const auto all = static_cast<double>(m_flows - firstCounted);
        outcome.inTime /= all;
        outcome.answered = static_cast<double>(times.size()) / all;
        std::sort(times.begin(), times.end());
        outcome.p50 = times[times.size() / 2];
        outcome.p99 = times[times.size() * 99 / 100];
        return outcome;
    }

    Policy m_policy;
    SteeringFleet m_fleet;
    Random m_random;
    std::size_t m_flows = 0;
    /// By balancer and upstream: flows that LeastOfTwo placed. openFlows() removes answered ones.
    std::array<std::array<std::vector<std::size_t>, ServiceTimesMs.size()>, Balancers> m_open;
};

} // namespace

int main(int argc, char **argv)
{
    constexpr std::uint64_t Seed = 20261204;
    constexpr double DefaultSeconds = 20;
    constexpr double Percent = 100;
    const double seconds = argc > 1 ? std::strtod(argv[1], nullptr) : DefaultSeconds;
    if (seconds <= 0) {
        std::cerr << "usage: steering-placement [SECONDS]\n";
        return 2;
    }
    const std::vector<std::pair<Policy, const char *>> policies {
        {Policy::Product, "product"},
        {Policy::Uniform, "uniform"},
        {Policy::Rendezvous, "rendezvous"},
        {Policy::LeastOfTwo, "least of two"},
    };
    std::cout << "| load | placement | in time | answered | p50 ms | p99 ms |\n"
              << "| --- | --- | --- | --- | --- | --- |\n"
              << std::fixed << std::setprecision(1);
    for (const int load : {50, 70, 85, 100, 120}) {
        for (const auto &[policy, name] : policies) {
            Simulation simulation(policy, Seed);
            const Outcome outcome = simulation.run(flowsPerSecondMax() * load / Percent, seconds);
            std::cout << "| " << load << " % | " << name << " | " << outcome.inTime * Percent
                      << " % | " << outcome.answered * Percent << " % | " << outcome.p50.count()
                      << " | " << outcome.p99.count() << " |" << std::endl;
        }
    }
    return 0;
}
