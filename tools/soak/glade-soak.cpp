/// @file
/// Soak test: runs the daemons on loopback under random faults and checks what callers and
/// upstreams observe.

#include "ends.hpp"
#include "proxy.hpp"
#include "store_writer.hpp"

#include <store.hpp>
#include <store_values.hpp>

#include <gflags/gflags.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <filesystem>
#include <iostream>

DEFINE_uint64(seed, 1, "seed of the random faults and requests");
DEFINE_int32(seconds, 20, "how long faults are injected, in seconds");
DEFINE_string(work, "", "directory for settings and logs; a new one in /tmp if empty");
DEFINE_string(binaries, "",
              "directory of the daemon programs; if empty, ../daemons relative to this program");
DEFINE_bool(faults, true, "inject faults");
DEFINE_bool(restores, false, "also restore the store from copies some seconds old");

namespace {

using namespace bergamotglade;
using namespace bergamotglade::soak;

constexpr std::uint32_t Loopback = 0x7f000000; // 127.0.0.0
constexpr std::uint32_t BalancerNet = 0x7f010100;
constexpr std::uint32_t AgentNet = 0x7f010200;
constexpr std::uint32_t CallerNet = 0x7f020000;
constexpr std::size_t Balancers = 3;
constexpr std::size_t KitUpstreams = 6;
constexpr std::size_t DocUpstreams = 3;
constexpr Millis TickInterval {10};
constexpr Millis RequestInterval {12};
constexpr Millis FaultInterval {600};
constexpr Millis RestartDelay {250};
/// Time without faults at the end of a run. Requests that fail in its second half, after recovery,
/// fail the run. The time before the first fault is half as long.
constexpr Millis SettleTime {6000};
/// Time after which a draining upstream must get no new flows, counted from the change of its store
/// entry: 3 s plus a margin for packets in flight.
constexpr Millis DrainBound {3300};
/// Time after which a failure domain that is out must get no new flows: 5 s plus a margin for
/// packets in flight.
constexpr Millis DomainOutBound {5300};
constexpr Millis DomainOutDuration {7000};
constexpr Millis ProxyFaultDuration {1800};
constexpr std::size_t SimultaneousKills = 4;
const Endpoint KitsAddress {0xc6120001, 443};
const Endpoint DocsAddress {0xc6120001, 444};

class Soak
{
public:
    Soak(const Paths &paths, std::uint64_t seed)
        : m_paths(paths)
        , m_random(seededRandom(seed))
        , m_callerRandom(seededRandom(~seed))
        , m_store(m_io)
        , m_writer(m_store)
        , m_timer(m_io)
    {
        // Concurrent runs use different ports.
        const auto base = static_cast<std::uint16_t>(20'000 + (::getpid() % 3000) * 10);
        m_ports = {base, static_cast<std::uint16_t>(base + 1), static_cast<std::uint16_t>(base + 2),
                   static_cast<std::uint16_t>(base + 3), static_cast<std::uint16_t>(base + 4)};
        m_storeEndpoint = {Loopback + 1, static_cast<std::uint16_t>(base + 5)};
    }

    Result<int> run(Millis faultDuration)
    {
        BOOST_OUTCOME_TRYV(setUp());
        m_now = Clock::now();
        m_faultsFrom = m_now + SettleTime / 2;
        m_faultsUntil = m_faultsFrom + faultDuration;
        m_end = m_faultsUntil + SettleTime;
        scheduleTick();
        m_io.run();
        return report();
    }

private:
    struct ScheduledAction
    {
        Instant due;
        std::function<void()> run;
    };

    Result<void> setUp()
    {
        if (FLAGS_restores) {
            m_store.setEra(1);
        }
        BOOST_OUTCOME_TRYV(m_store.start(m_storeEndpoint));
        publishRoutes();
        for (std::size_t i = 0; i < Balancers; ++i) {
            m_machines.push_back(std::make_unique<Machine>(
                "balancer-" + std::to_string(i), BalancerNet + static_cast<std::uint32_t>(i) + 1,
                domainOf(i)));
        }
        for (std::size_t i = 0; i < KitUpstreams + DocUpstreams; ++i) {
            const std::string service = i < KitUpstreams ? "kits" : "docs";
            auto machine = std::make_unique<Machine>("agent-" + std::to_string(i),
                                                     AgentNet + static_cast<std::uint32_t>(i) + 1,
                                                     domainOf(i));
            machine->setUpstream(service);
            m_upstreams.push_back(std::make_unique<SoakUpstream>(
                m_io, *machine, service, m_ports,
                [this](const std::string &description) { reportViolation(description); }));
            BOOST_OUTCOME_TRYV(m_upstreams.back()->open());
            m_writer.put("servers/" + m_upstreams.back()->id(), m_upstreams.back()->storeEntry());
            m_machines.push_back(std::move(machine));
        }
        m_caller = std::make_unique<SoakCaller>(
            m_io, Endpoint {CallerNet + 1, m_ports.packets},
            [this] { return balancersInRotation(); },
            [this](const FlowKey &flow) { return isHeld(flow); }, m_callerRandom,
            [this](const std::string &description) { reportViolation(description); });
        BOOST_OUTCOME_TRYV(m_caller->open());
        for (const auto &machine : m_machines) {
            // Each machine reaches the store through its own proxy.
            auto proxy =
                Proxy::open(m_io, {machine->address(), m_storeEndpoint.port}, m_storeEndpoint);
            if (!proxy) {
                return proxy.error();
            }
            m_proxies.push_back(std::move(proxy.value()));
            BOOST_OUTCOME_TRYV(start(*machine));
        }
        return boost::outcome_v2::success();
    }

    static std::string domainOf(std::size_t index)
    {
        return std::string("domain-") + static_cast<char>('a' + index % 3);
    }

    void publishRoutes()
    {
        m_writer.put(
            "op/config",
            standins::configValue(++m_version, {{KitsAddress, "kits"}, {DocsAddress, "docs"}}));
    }

    Result<void> start(Machine &machine)
    {
        std::vector<Endpoint> peers;
        for (std::size_t i = 0; i < Balancers; ++i) {
            peers.push_back({BalancerNet + static_cast<std::uint32_t>(i) + 1, m_ports.control});
        }
        return machine.start(m_paths, m_ports, {machine.address(), m_storeEndpoint.port}, peers);
    }

    /// Packet addresses of the balancers in rotation. The fabric, which probes readiness twice per
    /// second, drops a balancer from rotation 600 ms after it was told to stop or was killed, and
    /// adds it again 700 ms after its restart.
    std::vector<Endpoint> balancersInRotation() const
    {
        std::vector<Endpoint> in;
        for (std::size_t i = 0; i < Balancers; ++i) {
            if (!m_outOfRotation.contains(i)) {
                in.push_back({m_machines[i]->address(), m_ports.packets});
            }
        }
        return in;
    }

    bool isHeld(const FlowKey &flow) const
    {
        return std::any_of(m_upstreams.begin(), m_upstreams.end(),
                           [&](const auto &u) { return !u->down && u->holds(flow); });
    }

    void reportViolation(const std::string &description)
    {
        // Every violation counts, even if a process was frozen or an upstream has just crashed. The
        // acceptance test bench exempts these cases.
        ++m_violations;
        std::cout << "VIOLATION at " << (m_now - m_begin).count() << " ms: " << description
                  << std::endl;
    }

    void scheduleAfter(Millis delay, std::function<void()> run)
    {
        m_scheduled.push_back({m_now + delay, std::move(run)});
    }

    void scheduleTick()
    {
        if (m_begin == Instant()) {
            m_begin = m_now;
        }
        m_timer.expires_after(TickInterval);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                onTick();
            }
        });
    }

    void onTick()
    {
        m_now = Clock::now();
        for (const auto &upstream : m_upstreams) {
            upstream->onTick(m_now);
        }
        m_caller->onTick(m_now);
        m_writer.onTick(m_now);
        if (m_now >= m_begin + SettleTime / 4 && m_now >= m_nextRequest
            && m_now < m_end - SettleTime / 4) {
            m_nextRequest = m_now + RequestInterval;
            m_caller->request(randomBelow(m_callerRandom, 4) == 0 ? DocsAddress : KitsAddress,
                              m_now);
        }
        if (m_now >= m_faultsUntil + SettleTime / 2 && !m_recoveredCounts) {
            m_recoveredCounts = m_caller->counts();
        }
        if (FLAGS_faults && m_now >= m_faultsFrom && m_now < m_faultsUntil
            && m_now >= m_nextFault) {
            m_nextFault = m_now + FaultInterval;
            injectFault();
        }
        std::vector<ScheduledAction> dueActions;
        std::erase_if(m_scheduled, [&](ScheduledAction &action) {
            if (action.due > m_now) {
                return false;
            }
            dueActions.push_back(std::move(action));
            return true;
        });
        for (const ScheduledAction &action : dueActions) {
            action.run();
        }
        if (m_now < m_end) {
            scheduleTick();
        } else {
            m_io.stop();
        }
    }

    void injectFault()
    {
        constexpr std::uint64_t Kinds = 13;
        // Without restores, a seed draws the same faults as before there were any.
        const std::uint64_t kind = randomBelow(m_random, FLAGS_restores ? Kinds + 3 : Kinds);
        if (kind <= 3) {
            disturbMachine(static_cast<std::size_t>(randomBelow(m_random, m_machines.size())),
                           kind);
        } else if (kind == 4) {
            printEvent("store unavailable");
            m_store.setMode(randomBelow(m_random, 2) == 0 ? standins::StoreMode::Refusing
                                                          : standins::StoreMode::Silent);
            scheduleAfter(Millis(1500), [this] { m_store.setMode(standins::StoreMode::Up); });
        } else if (kind == 5) {
            crash(static_cast<std::size_t>(randomBelow(m_random, m_upstreams.size())));
        } else if (kind == 6) {
            drain(static_cast<std::size_t>(randomBelow(m_random, m_upstreams.size())));
        } else if (kind == 7) {
            takeDomainOut("domain-"
                          + std::string(1, static_cast<char>('a' + randomBelow(m_random, 3))));
        } else if (kind == 8) {
            killSeveral();
        } else if (kind <= 11) {
            disturbStoreConnections();
        } else if (kind >= Kinds) {
            restoreStore();
        } else {
            printEvent("configuration changes");
            publishRoutes();
        }
    }

    /// The store is away for a moment and comes back from a copy some seconds old.
    void restoreStore()
    {
        if (m_store.mode() != standins::StoreMode::Up) {
            return;
        }
        constexpr std::uint64_t AgeMax = 4000;
        const Millis age(static_cast<std::int64_t>(randomBelow(m_random, AgeMax)));
        m_store.setMode(standins::StoreMode::Refusing);
        scheduleAfter(Millis(300), [this, age] {
            const Millis used = m_writer.restore(age, m_random, m_now);
            m_store.setMode(standins::StoreMode::Up);
            printEvent("store restored from a copy " + std::to_string(used.count()) + " ms old");
        });
    }

    /// Injects faults into the store connections of several machines, drawn with repetition.
    void disturbStoreConnections()
    {
        constexpr std::uint64_t Modes = 4;
        const auto mode = static_cast<ProxyMode>(1 + randomBelow(m_random, Modes));
        const std::size_t count = 1 + randomBelow(m_random, m_proxies.size());
        printEvent("store connections of up to " + std::to_string(count)
                   + " machines disturbed, proxy mode " + std::to_string(static_cast<int>(mode)));
        for (std::size_t i = 0; i < count; ++i) {
            const std::size_t index = randomBelow(m_random, m_proxies.size());
            m_proxies[index]->setMode(mode);
            scheduleAfter(ProxyFaultDuration,
                          [this, index] { m_proxies[index]->setMode(ProxyMode::Pass); });
        }
    }

    void killSeveral()
    {
        for (std::size_t i = 0; i < SimultaneousKills; ++i) {
            constexpr std::uint64_t Kill = 2;
            disturbMachine(static_cast<std::size_t>(randomBelow(m_random, m_machines.size())),
                           Kill);
        }
    }

    void takeDomainOut(const std::string &domain)
    {
        // DomainOutBound counts from the store's acknowledgement, so the store must be up and the
        // connections to it undisturbed.
        const bool storeReachable = m_store.mode() == standins::StoreMode::Up
            && std::all_of(m_proxies.begin(), m_proxies.end(),
                           [](const auto &p) { return p->mode() == ProxyMode::Pass; });
        if (!storeReachable || m_domainOut) {
            return;
        }
        printEvent("failure domain out: " + domain);
        m_domainOut = true;
        m_writer.put("op/evacuate/" + domain, "{}");
        scheduleAfter(DomainOutBound, [this, domain] { forbidNewFlowsIn(domain, m_now); });
        scheduleAfter(DomainOutDuration, [this, domain] {
            printEvent("failure domain back: " + domain);
            forbidNewFlowsIn(domain, std::nullopt);
            m_writer.remove("op/evacuate/" + domain);
            m_domainOut = false;
        });
    }

    void forbidNewFlowsIn(const std::string &domain, std::optional<Instant> limit)
    {
        for (const auto &upstream : m_upstreams) {
            if (upstream->domain() == domain && !upstream->draining) {
                upstream->forbidNewFlowsSince(limit);
            }
        }
    }

    /// Stops, kills or freezes a process, unless an earlier such fault still affects it.
    /// @param kind 0 or 1: stop gracefully, 2: kill, 3: freeze
    void disturbMachine(std::size_t index, std::uint64_t kind)
    {
        Machine &machine = *m_machines[index];
        if (!machine.isRunning() || m_disturbed.contains(index)) {
            return;
        }
        m_disturbed.insert(index);
        if (kind == 3) {
            printEvent("freeze " + machine.name());
            machine.signal(SIGSTOP);
            scheduleAfter(Millis(1500), [this, index] {
                m_machines[index]->signal(SIGCONT);
                m_disturbed.erase(index);
            });
            return;
        }
        const bool graceful = kind != 2;
        printEvent((graceful ? "stop " : "kill ") + machine.name());
        machine.signal(graceful ? SIGTERM : SIGKILL);
        scheduleAfter(Millis(600), [this, index] { m_outOfRotation.insert(index); });
        restartWhenEnded(index);
    }

    void restartWhenEnded(std::size_t index)
    {
        Machine &machine = *m_machines[index];
        if (!machine.reap()) {
            scheduleAfter(Millis(50), [this, index] { restartWhenEnded(index); });
            return;
        }
        scheduleAfter(RestartDelay, [this, index] {
            const auto started = start(*m_machines[index]);
            if (!started) {
                reportViolation("restart failed: " + describe(started.error()));
            }
            scheduleAfter(Millis(700), [this, index] {
                m_outOfRotation.erase(index);
                m_disturbed.erase(index);
            });
        });
    }

    void crash(std::size_t index)
    {
        SoakUpstream &upstream = *m_upstreams[index];
        if (upstream.down || upstream.draining) {
            return;
        }
        printEvent("upstream crashes: " + upstream.id());
        upstream.down = true;
        // The store lists the crashed upstream for another 1.2 s.
        const std::string key = "servers/" + upstream.id();
        scheduleAfter(Millis(1200), [this, key] { m_writer.remove(key); });
        scheduleAfter(Millis(2500), [this, index] { restoreUpstream(index); });
    }

    void drain(std::size_t index)
    {
        SoakUpstream &upstream = *m_upstreams[index];
        if (upstream.down || upstream.draining || m_store.mode() != standins::StoreMode::Up) {
            return;
        }
        printEvent("upstream drains: " + upstream.id());
        upstream.draining = true;
        m_writer.put("servers/" + upstream.id(), upstream.storeEntry());
        scheduleAfter(DrainBound, [this, index] {
            if (m_upstreams[index]->draining) {
                m_upstreams[index]->forbidNewFlowsSince(m_now);
            }
        });
        const std::string key = "servers/" + upstream.id();
        scheduleAfter(Millis(6000), [this, index, key] {
            m_writer.remove(key);
            m_upstreams[index]->down = true;
            scheduleAfter(Millis(500), [this, index] { restoreUpstream(index); });
        });
    }

    void restoreUpstream(std::size_t index)
    {
        SoakUpstream &upstream = *m_upstreams[index];
        upstream.restart();
        upstream.down = false;
        m_writer.put("servers/" + upstream.id(), upstream.storeEntry());
    }

    void printEvent(const std::string &description) const
    {
        std::cout << (m_now - m_begin).count() << " ms: " << description << std::endl;
    }

    int report()
    {
        const SoakCaller::Counts &c = m_caller->counts();
        const SoakCaller::Counts recovered = m_recoveredCounts.value_or(c);
        const std::uint64_t failedAfterRecovery = c.failed - recovered.failed;
        std::cout << "requests " << c.requested << ", answered " << c.answered << ", failed "
                  << c.failed << ", resets " << c.resets << "; failed after recovery "
                  << failedAfterRecovery << "; violations " << m_violations
                  << "; calls to the store " << m_store.calls() << std::endl;
        const bool mostAnswered = c.answered * 2 > c.requested;
        return m_violations == 0 && failedAfterRecovery == 0 && mostAnswered ? 0 : 1;
    }

    Paths m_paths;
    Random m_random; ///< draws the faults
    /// Draws the requests; separate, so that a seed always gives the same faults.
    Random m_callerRandom;
    boost::asio::io_context m_io {1};
    standins::Store m_store;
    StoreWriter m_writer;
    boost::asio::steady_timer m_timer;
    Ports m_ports;
    Endpoint m_storeEndpoint;
    std::vector<std::unique_ptr<Machine>> m_machines;
    std::vector<std::unique_ptr<SoakUpstream>> m_upstreams;
    std::vector<std::unique_ptr<Proxy>> m_proxies; ///< by machine, on its connections to the store
    std::unique_ptr<SoakCaller> m_caller;
    bool m_domainOut = false;
    std::vector<ScheduledAction> m_scheduled;
    std::set<std::size_t> m_outOfRotation; ///< indices in m_machines; agents have no effect
    std::set<std::size_t> m_disturbed; ///< indices of the machines that a fault affects
    /// Counts in the middle of the final SettleTime; requests that fail later fail the run.
    std::optional<SoakCaller::Counts> m_recoveredCounts;
    std::uint64_t m_version = 0;
    std::uint64_t m_violations = 0;
    Instant m_now;
    Instant m_begin;
    Instant m_faultsFrom;
    Instant m_faultsUntil;
    Instant m_end;
    Instant m_nextRequest;
    Instant m_nextFault;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(
        "glade-soak --seed N --seconds N: exits with 0 if no guarantee was violated, more than "
        "half of the requests were answered and none failed after recovery");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::filesystem::path executable(argv[0]);
    Paths paths;
    paths.binaryDirectory = FLAGS_binaries.empty()
        ? (executable.parent_path() / "../daemons").string()
        : FLAGS_binaries;
    paths.workDirectory = FLAGS_work.empty()
        ? "/tmp/glade-soak-" + std::to_string(FLAGS_seed) + "-" + std::to_string(::getpid())
        : FLAGS_work;
    std::filesystem::create_directories(paths.workDirectory);
    std::cout << "seed " << FLAGS_seed << ", logs in " << paths.workDirectory << std::endl;
    constexpr std::int64_t MillisPerSecond = 1000;
    Soak soak(paths, FLAGS_seed);
    const auto result = soak.run(Millis(FLAGS_seconds * MillisPerSecond));
    if (!result) {
        std::cerr << describe(result.error()) << '\n';
        return 2;
    }
    return result.value();
}
