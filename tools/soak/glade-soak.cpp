/// @file
/// Runs the real programs on loopback under random faults and checks what both ends see.

#include "ends.hpp"
#include "proxy.hpp"

#include <store.hpp>
#include <store_values.hpp>

#include <gflags/gflags.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <filesystem>
#include <iostream>

DEFINE_uint64(seed, 1, "seed of the faults");
DEFINE_int32(seconds, 20, "time under faults, in seconds");
DEFINE_string(work, "", "directory for settings and logs; a new one in /tmp where empty");
DEFINE_string(binaries, "", "directory of the daemons");
DEFINE_bool(faults, true, "bring faults about");

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
constexpr Millis RequestGap {12};
constexpr Millis FaultGap {600};
constexpr Millis RestartAfter {250};
constexpr Millis Settle {6000};
/// A leaving upstream may get flows for this long after the store knows; 3 s and what is under way.
constexpr Millis DrainBound {3300};
/// A failure domain that is out gets no new flows after this; 5 s and what is under way.
constexpr Millis DomainOutBound {5300};
constexpr Millis DomainOutTime {7000};
constexpr Millis ProxyFaultTime {1800};
constexpr std::size_t HerdSize = 4;
const Endpoint KitsRoute {0xc6120001, 443};
const Endpoint DocsRoute {0xc6120001, 444};

class Soak
{
public:
    Soak(const Paths &paths, std::uint64_t seed)
        : m_paths(paths)
        , m_random(seededRandom(seed))
        , m_callerRandom(seededRandom(~seed))
        , m_store(m_io)
        , m_timer(m_io)
    {
        // Runs beside each other use different ports.
        const auto base = static_cast<std::uint16_t>(20'000 + (::getpid() % 3000) * 10);
        m_ports = {base, static_cast<std::uint16_t>(base + 1), static_cast<std::uint16_t>(base + 2),
                   static_cast<std::uint16_t>(base + 3), static_cast<std::uint16_t>(base + 4)};
        m_storeAt = {Loopback + 1, static_cast<std::uint16_t>(base + 5)};
    }

    Result<int> run(Millis underFaults)
    {
        BOOST_OUTCOME_TRYV(setUp());
        m_now = Clock::now();
        m_calmUntil = m_now + Settle / 2;
        m_faultsUntil = m_calmUntil + underFaults;
        m_end = m_faultsUntil + Settle;
        schedule();
        m_io.run();
        return report();
    }

private:
    struct Pending
    {
        Instant at;
        std::function<void()> run;
    };

    Result<void> setUp()
    {
        BOOST_OUTCOME_TRYV(m_store.start(m_storeAt));
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
            m_upstreams.push_back(
                std::make_unique<SoakUpstream>(m_io, *machine, service, m_ports,
                                               [this](const std::string &what) { breach(what); }));
            BOOST_OUTCOME_TRYV(m_upstreams.back()->open());
            m_store.put("servers/" + m_upstreams.back()->id(), m_upstreams.back()->entry());
            m_machines.push_back(std::move(machine));
        }
        m_caller = std::make_unique<SoakCaller>(
            m_io, Endpoint {CallerNet + 1, m_ports.packets}, [this] { return rotation(); },
            [this](const FlowKey &flow) { return isHeld(flow); }, m_callerRandom,
            [this](const std::string &what) { breach(what); });
        BOOST_OUTCOME_TRYV(m_caller->open());
        for (const auto &machine : m_machines) {
            // Each machine reaches the store through a proxy of its own.
            auto proxy = Proxy::open(m_io, {machine->address(), m_storeAt.port}, m_storeAt);
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
        m_store.put("op/config",
                    standins::configValue(++m_version, {{KitsRoute, "kits"}, {DocsRoute, "docs"}}));
    }

    Result<void> start(Machine &machine)
    {
        std::vector<Endpoint> seeds;
        for (std::size_t i = 0; i < Balancers; ++i) {
            seeds.push_back({BalancerNet + static_cast<std::uint32_t>(i) + 1, m_ports.control});
        }
        return machine.start(m_paths, m_ports, {machine.address(), m_storeAt.port}, seeds);
    }

    /// The fabric leaves out what has ended or was told to, half a second later.
    std::vector<Endpoint> rotation() const
    {
        std::vector<Endpoint> in;
        for (std::size_t i = 0; i < Balancers; ++i) {
            if (!m_out.contains(i)) {
                in.push_back({m_machines[i]->address(), m_ports.packets});
            }
        }
        return in;
    }

    bool isHeld(const FlowKey &flow) const
    {
        return std::any_of(m_upstreams.begin(), m_upstreams.end(),
                           [&](const auto &u) { return !u->dead && u->holds(flow); });
    }

    void breach(const std::string &what)
    {
        // Frozen processes and upstreams that just crashed are judged by the bench's exemptions.
        ++m_breaches;
        std::cout << "BREACH at " << (m_now - m_begin).count() << " ms: " << what << std::endl;
    }

    void later(Millis delay, std::function<void()> run)
    {
        m_pending.push_back({m_now + delay, std::move(run)});
    }

    void schedule()
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
        if (m_now >= m_begin + Settle / 4 && m_now >= m_nextRequest && m_now < m_end - Settle / 4) {
            m_nextRequest = m_now + RequestGap;
            m_caller->request(below(m_callerRandom, 4) == 0 ? DocsRoute : KitsRoute, m_now);
        }
        if (m_now >= m_faultsUntil + Settle / 2 && !m_calmAgain) {
            m_calmAgain = m_caller->counts();
        }
        if (FLAGS_faults && m_now >= m_calmUntil && m_now < m_faultsUntil && m_now >= m_nextFault) {
            m_nextFault = m_now + FaultGap;
            fault();
        }
        std::vector<Pending> due;
        std::erase_if(m_pending, [&](Pending &pending) {
            if (pending.at > m_now) {
                return false;
            }
            due.push_back(std::move(pending));
            return true;
        });
        for (const Pending &pending : due) {
            pending.run();
        }
        if (m_now < m_end) {
            schedule();
        } else {
            m_io.stop();
        }
    }

    void fault()
    {
        constexpr std::uint64_t Kinds = 13;
        const std::uint64_t kind = below(m_random, Kinds);
        if (kind <= 3) {
            stopOne(static_cast<std::size_t>(below(m_random, m_machines.size())), kind);
        } else if (kind == 4) {
            say("store away");
            m_store.setMode(below(m_random, 2) == 0 ? standins::StoreMode::Refusing
                                                    : standins::StoreMode::Silent);
            later(Millis(1500), [this] { m_store.setMode(standins::StoreMode::Up); });
        } else if (kind == 5) {
            crash(static_cast<std::size_t>(below(m_random, m_upstreams.size())));
        } else if (kind == 6) {
            drain(static_cast<std::size_t>(below(m_random, m_upstreams.size())));
        } else if (kind == 7) {
            takeDomainOut("domain-" + std::string(1, static_cast<char>('a' + below(m_random, 3))));
        } else if (kind == 8) {
            herdKill();
        } else if (kind <= 11) {
            harmConnections();
        } else {
            say("configuration changes");
            publishRoutes();
        }
    }

    /// Some machines' connections to the store are harmed, each in its own way.
    void harmConnections()
    {
        constexpr std::uint64_t Modes = 4;
        const auto mode = static_cast<ProxyMode>(1 + below(m_random, Modes));
        const std::size_t count = 1 + below(m_random, m_proxies.size());
        say("connections of " + std::to_string(count) + " machines to the store, mode "
            + std::to_string(static_cast<int>(mode)));
        for (std::size_t i = 0; i < count; ++i) {
            const std::size_t at = below(m_random, m_proxies.size());
            m_proxies[at]->setMode(mode);
            later(ProxyFaultTime, [this, at] { m_proxies[at]->setMode(ProxyMode::Pass); });
        }
    }

    void herdKill()
    {
        for (std::size_t i = 0; i < HerdSize; ++i) {
            constexpr std::uint64_t Kill = 2;
            stopOne(static_cast<std::size_t>(below(m_random, m_machines.size())), Kill);
        }
    }

    void takeDomainOut(const std::string &domain)
    {
        // The bound starts with the store's acknowledgement, given while it is well.
        const bool calm = m_store.mode() == standins::StoreMode::Up
            && std::all_of(m_proxies.begin(), m_proxies.end(),
                           [](const auto &p) { return p->mode() == ProxyMode::Pass; });
        if (!calm || m_domainOut) {
            return;
        }
        say("failure domain out: " + domain);
        m_domainOut = true;
        m_store.put("op/evacuate/" + domain, "{}");
        later(DomainOutBound, [this, domain] { refuseIn(domain, m_now); });
        later(DomainOutTime, [this, domain] {
            say("failure domain back: " + domain);
            refuseIn(domain, std::nullopt);
            m_store.remove("op/evacuate/" + domain);
            m_domainOut = false;
        });
    }

    void refuseIn(const std::string &domain, std::optional<Instant> limit)
    {
        for (const auto &upstream : m_upstreams) {
            if (upstream->domain() == domain && !upstream->draining) {
                upstream->refuseFrom(limit);
            }
        }
    }

    void stopOne(std::size_t index, std::uint64_t kind)
    {
        Machine &machine = *m_machines[index];
        if (!machine.running() || m_busy.contains(index)) {
            return;
        }
        m_busy.insert(index);
        if (kind == 3) {
            say("freeze " + machine.name());
            machine.signal(SIGSTOP);
            later(Millis(1500), [this, index] {
                m_machines[index]->signal(SIGCONT);
                m_busy.erase(index);
            });
            return;
        }
        const bool graceful = kind != 2;
        say((graceful ? "stop " : "kill ") + machine.name());
        machine.signal(graceful ? SIGTERM : SIGKILL);
        later(Millis(600), [this, index] { m_out.insert(index); });
        awaitEnd(index);
    }

    void awaitEnd(std::size_t index)
    {
        Machine &machine = *m_machines[index];
        if (!machine.reap()) {
            later(Millis(50), [this, index] { awaitEnd(index); });
            return;
        }
        later(RestartAfter, [this, index] {
            const auto started = start(*m_machines[index]);
            if (!started) {
                breach("restart: " + describe(started.error()));
            }
            later(Millis(700), [this, index] {
                m_out.erase(index);
                m_busy.erase(index);
            });
        });
    }

    void crash(std::size_t index)
    {
        SoakUpstream &upstream = *m_upstreams[index];
        if (upstream.dead || upstream.draining) {
            return;
        }
        say("upstream crashes: " + upstream.id());
        upstream.dead = true;
        const std::string key = "servers/" + upstream.id();
        later(Millis(1200), [this, key] { m_store.remove(key); });
        later(Millis(2500), [this, index] { returnUpstream(index); });
    }

    void drain(std::size_t index)
    {
        SoakUpstream &upstream = *m_upstreams[index];
        if (upstream.dead || upstream.draining || m_store.mode() != standins::StoreMode::Up) {
            return;
        }
        say("upstream leaves: " + upstream.id());
        upstream.draining = true;
        m_store.put("servers/" + upstream.id(), upstream.entry());
        later(DrainBound, [this, index] {
            if (m_upstreams[index]->draining) {
                m_upstreams[index]->refuseFrom(m_now);
            }
        });
        const std::string key = "servers/" + upstream.id();
        later(Millis(6000), [this, index, key] {
            m_store.remove(key);
            m_upstreams[index]->dead = true;
            later(Millis(500), [this, index] { returnUpstream(index); });
        });
    }

    void returnUpstream(std::size_t index)
    {
        SoakUpstream &upstream = *m_upstreams[index];
        upstream.restart();
        upstream.dead = false;
        m_store.put("servers/" + upstream.id(), upstream.entry());
    }

    void say(const std::string &what) const
    {
        std::cout << (m_now - m_begin).count() << " ms: " << what << std::endl;
    }

    int report()
    {
        const SoakCaller::Counts &c = m_caller->counts();
        const SoakCaller::Counts calm = m_calmAgain.value_or(c);
        const std::uint64_t after = c.failed - calm.failed;
        std::cout << "asked " << c.asked << ", answered " << c.answered << ", failed " << c.failed
                  << ", resets " << c.resets << "; failed after the faults " << after
                  << "; breaches " << m_breaches << "; calls to the store " << m_store.calls()
                  << std::endl;
        const bool served = c.answered * 2 > c.asked;
        return m_breaches == 0 && after == 0 && served ? 0 : 1;
    }

    Paths m_paths;
    Random m_random; ///< of the faults
    Random m_callerRandom; ///< apart, so that a seed gives the same faults
    boost::asio::io_context m_io {1};
    standins::Store m_store;
    boost::asio::steady_timer m_timer;
    Ports m_ports;
    Endpoint m_storeAt;
    std::vector<std::unique_ptr<Machine>> m_machines;
    std::vector<std::unique_ptr<SoakUpstream>> m_upstreams;
    std::vector<std::unique_ptr<Proxy>> m_proxies; ///< by machine, on its way to the store
    std::unique_ptr<SoakCaller> m_caller;
    bool m_domainOut = false;
    std::vector<Pending> m_pending;
    std::set<std::size_t> m_out;
    std::set<std::size_t> m_busy;
    std::optional<SoakCaller::Counts> m_calmAgain;
    std::uint64_t m_version = 0;
    std::uint64_t m_breaches = 0;
    Instant m_now;
    Instant m_begin;
    Instant m_calmUntil;
    Instant m_faultsUntil;
    Instant m_end;
    Instant m_nextRequest;
    Instant m_nextFault;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("glade-soak --seed N --seconds N: exit 0 where every promise held");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::filesystem::path self(argv[0]);
    Paths paths;
    paths.binaries =
        FLAGS_binaries.empty() ? (self.parent_path() / "../daemons").string() : FLAGS_binaries;
    paths.work = FLAGS_work.empty()
        ? "/tmp/glade-soak-" + std::to_string(FLAGS_seed) + "-" + std::to_string(::getpid())
        : FLAGS_work;
    std::filesystem::create_directories(paths.work);
    std::cout << "seed " << FLAGS_seed << ", logs in " << paths.work << std::endl;
    constexpr std::int64_t MillisPerSecond = 1000;
    Soak soak(paths, FLAGS_seed);
    const auto result = soak.run(Millis(FLAGS_seconds * MillisPerSecond));
    if (!result) {
        std::cerr << describe(result.error()) << '\n';
        return 2;
    }
    return result.value();
}
