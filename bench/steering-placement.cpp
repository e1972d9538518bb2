// Placement of steered connections beside three baselines, on a virtual clock: seven upstreams
// whose speeds differ fivefold and are not told, three balancers, new flows at random times, no
// retries.
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
/// Objective of a request, as in the fixture's routes.
constexpr Millis Target {250};
/// Load reports and service times settle before the flows that count.
constexpr double WarmSeconds = 3;
/// What is open at the end may still be answered.
constexpr Millis Tail {2000};
constexpr std::array<int, 7> WorkMs {28, 32, 40, 48, 56, 80, 132};

enum class Policy {
    Product,
    Uniform, ///< any upstream
    Rendezvous, ///< the highest of the hashes of flow and upstream
    LeastOfTwo, ///< of two random ones the one with fewer open requests of this balancer
};

double capacity()
{
    double perSecond = 0;
    for (const int work : WorkMs) {
        perSecond += Slots * MillisPerSecond / work;
    }
    return perSecond;
}

struct Outcome
{
    double inTime = 0; ///< share of the flows
    double answered = 0;
    Millis p50;
    Millis p99; ///< of those answered
};

/// One run of one policy at one rate.
class Run
{
public:
    Run(Policy policy, std::uint64_t seed)
        : m_policy(policy)
        , m_fleet(seed)
        , m_random(seededRandom(seed))
    {
        m_fleet.publish(SteeringFleet::routesTo({{"kits", 1}}));
        for (std::size_t i = 0; i < WorkMs.size(); ++i) {
            m_fleet.addUpstream("kits", std::string(1, static_cast<char>('a' + i % Balancers)),
                                false);
            m_fleet.upstream(i).slots = Slots;
            m_fleet.upstream(i).work = Millis(WorkMs[i]);
            m_fleet.publish(m_fleet.entryOf(i));
        }
        for (std::size_t i = 0; i < Balancers; ++i) {
            m_fleet.addBalancer();
        }
        if (policy != Policy::Product) {
            m_fleet.placeDirectly = [this](std::size_t flow) {
                return place(flow);
            };
        }
        m_fleet.runFor(Millis(3000));
    }

    Outcome play(double perSecond, double seconds)
    {
        double atMs = 0;
        const double endMs = (WarmSeconds + seconds) * MillisPerSecond;
        std::size_t first = 0;
        while (atMs < endMs) {
            const double gap = -std::log(uniform()) * MillisPerSecond / perSecond;
            const auto before = static_cast<std::int64_t>(atMs);
            atMs += gap;
            m_fleet.runFor(Millis(static_cast<std::int64_t>(atMs) - before));
            const std::size_t flow = m_fleet.openFlow(below(m_random, Balancers));
            m_flows = flow + 1;
            first = atMs < WarmSeconds * MillisPerSecond ? m_flows : first;
        }
        m_fleet.runFor(Tail);
        return outcomeOf(first);
    }

private:
    double uniform()
    {
        constexpr std::uint64_t Steps = 1U << 30U;
        return (static_cast<double>(below(m_random, Steps)) + 1) / static_cast<double>(Steps);
    }

    std::size_t place(std::size_t flow)
    {
        const std::size_t count = WorkMs.size();
        if (m_policy == Policy::Uniform) {
            return below(m_random, count);
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
        const std::size_t a = below(m_random, count);
        const std::size_t b = (a + 1 + below(m_random, count - 1)) % count;
        const std::size_t chosen = openAt(balancer, a) <= openAt(balancer, b) ? a : b;
        m_open[balancer][chosen].push_back(flow);
        return chosen;
    }

    std::size_t openAt(std::size_t balancer, std::size_t upstream)
    {
        auto &flows = m_open[balancer][upstream];
        std::erase_if(flows, [this](std::size_t flow) { return m_fleet.flow(flow).answered; });
        return flows.size();
    }

    Outcome outcomeOf(std::size_t first)
    {
        std::vector<Millis> times;
        Outcome out;
        for (std::size_t i = first; i < m_flows; ++i) {
            const CallerFlow &flow = m_fleet.flow(i);
            if (flow.answered) {
                times.push_back(flow.answeredAt - flow.openedAt);
                out.inTime += times.back() <= Target ? 1 : 0;
            }
        }
        const auto all = static_cast<double>(m_flows - first);
        out.inTime /= all;
        out.answered = static_cast<double>(times.size()) / all;
        std::sort(times.begin(), times.end());
        out.p50 = times[times.size() / 2];
        out.p99 = times[times.size() * 99 / 100];
        return out;
    }

    Policy m_policy;
    SteeringFleet m_fleet;
    Random m_random;
    std::size_t m_flows = 0;
    std::array<std::array<std::vector<std::size_t>, WorkMs.size()>, Balancers> m_open;
};

} // namespace

int main(int argc, char **argv)
{
    constexpr std::uint64_t Seed = 20261204;
    constexpr double UsualSeconds = 20;
    constexpr double Percent = 100;
    const double seconds = argc > 1 ? std::strtod(argv[1], nullptr) : UsualSeconds;
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
            Run run(policy, Seed);
            const Outcome out = run.play(capacity() * load / Percent, seconds);
            std::cout << "| " << load << " % | " << name << " | " << out.inTime * Percent << " % | "
                      << out.answered * Percent << " % | " << out.p50.count() << " | "
                      << out.p99.count() << " |" << std::endl;
        }
    }
    return 0;
}
