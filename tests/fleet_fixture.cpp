#include "fleet_fixture.hpp"

#include <bergamotglade/detail/net/datagram_codec.hpp>
#include <bergamotglade/detail/net/http.hpp>

#include <algorithm>
#include <cstdlib>

namespace bergamotglade::tests {

namespace {

constexpr Millis TickInterval {50};
constexpr Millis PlatformDelay {3};
/// Size of the IPv4 and UDP headers, in bytes.
constexpr std::size_t UdpOverhead = 28;
/// Assumed size of the headers of an HTTP request and its response, in bytes.
constexpr std::size_t HttpOverhead = 600;
constexpr std::uint32_t Loopback = 0x7f000001;
constexpr std::uint16_t FirstAgentPort = 10'000;
constexpr std::uint16_t FirstBalancerPort = 20'000;

const char *stateText(AdminState state)
{
    return state == AdminState::In ? "in" : "out";
}

} // namespace

Mechanisms mechanismsUnderTest()
{
    const char *name = std::getenv("GLADE_WITHOUT");
    return Mechanisms::without(name == nullptr ? "" : name);
}

TestFleet::TestFleet(const FleetOptions &fleetOptions)
    : options(fleetOptions)
    , m_random(seededRandom(fleetOptions.seed))
{
    for (std::size_t i = 0; i < options.domains; ++i) {
        m_domains.push_back({FailureDomainId("zone-" + std::to_string(i + 1)), AdminState::In, {}});
    }
    const std::size_t all = options.upstreams + options.otherUpstreams;
    for (std::size_t i = 0; i < all; ++i) {
        const bool kits = i < options.upstreams;
        const std::size_t number = kits ? i + 1 : i - options.upstreams + 1;
        const std::string id = (kits ? "kits-" : "lists-") + std::to_string(number);
        const Endpoint endpoint {Loopback, static_cast<std::uint16_t>(FirstAgentPort + i)};
        Upstream entry;
        entry.id = UpstreamId(id);
        entry.vm = VmId("vm-" + id);
        entry.domain = m_domains[i % m_domains.size()].id;
        entry.agent = endpoint;
        m_entries.push_back(entry);
        FakeUpstream fake;
        fake.service = ServiceName(kits ? "kits" : "lists");
        fake.serviceTime = options.serviceTime;
        fake.slots = options.slots;
        m_upstreams[id] = std::move(fake);
        addHost("agent-" + id, endpoint, i);
    }
    for (std::size_t i = 0; i < options.balancers; ++i) {
        addHost("balancer-" + std::to_string(i + 1),
                {Loopback, static_cast<std::uint16_t>(FirstBalancerPort + i)}, i);
    }
    publish();
    for (const auto &[name, host] : m_hosts) {
        boot(*host);
    }
}

TestFleet::~TestFleet() = default;

void TestFleet::addHost(const std::string &name, const Endpoint &endpoint, std::size_t domain)
{
    auto host = std::make_unique<Host>();
    host->name = name;
    host->endpoint = endpoint;
    host->vm = VmId("vm-" + name);
    host->domain = m_domains[domain % m_domains.size()].id;
    if (name.starts_with("agent-")) {
        host->upstream = name.substr(std::string("agent-").size());
        host->service = m_upstreams.at(host->upstream).service;
    }
    m_hosts[name] = std::move(host);
}

void TestFleet::boot(Host &host)
{
    ++host.generation;
    host.alive = true;
    host.frozen = false;
    host.inbox.clear();
    DisseminationSettings settings;
    settings.self = host.endpoint;
    settings.vm = host.vm;
    settings.domain = host.domain;
    settings.incarnation = Incarnation(m_random());
    settings.mechanisms = m_mechanisms;
    DisseminationHooks hooks;
    hooks.sendNotice = [this, &host](const Endpoint &peer, const Notice &notice) {
        Host *to = hostAt(peer);
        const std::size_t bytes = encode(notice).size() + UdpOverhead;
        host.controlBytes += bytes;
        if (to != nullptr && to->name != m_updatesBlocked) {
            to->controlBytes += bytes;
            transmit(&host, *to, options.control,
                     [this, to, notice] { to->dissemination->onNotice(notice, m_now); });
        }
    };
    hooks.fetchFromPeer = [this, &host](const Endpoint &peer, Revision since) {
        Host *to = hostAt(peer);
        if (to == nullptr || host.name == m_updatesBlocked) {
            return;
        }
        // TCP: no loss or duplication, but a dead or disconnected peer never answers.
        const NetworkFaults tcp {0, 0, options.control.delayMin, options.control.delayMax};
        transmit(&host, *to, tcp, [this, &host, to, tcp, since] {
            const ChangeBatch batch = to->dissemination->store().changesSince(since);
            std::size_t bytes = HttpOverhead;
            for (const SectionChange &change : batch.changes) {
                bytes += change.text.size();
            }
            to->controlBytes += bytes;
            host.controlBytes += bytes;
            transmit(to, host, tcp,
                     [this, &host, batch] { host.dissemination->onPeerBatch(batch, m_now); });
        });
    };
    hooks.readPlatform = [this, &host](Revision since, bool watch) {
        platformRead(host, since, watch);
    };
    hooks.readVmList = [this, &host] {
        ++m_platformCalls;
        ++host.vmListReads;
        std::vector<Vm> vms;
        for (const auto &[name, other] : m_hosts) {
            vms.push_back({other->vm, other->domain, other->endpoint, false});
        }
        if (!m_down) {
            after(PlatformDelay, [this, &host, vms] {
                deliver(host, [this, &host, vms] { host.dissemination->onVmList(vms, m_now); });
            });
        }
    };
    host.agent.reset();
    host.balancer.reset();
    host.dissemination =
        std::make_unique<Dissemination>(settings, std::move(hooks), seededRandom(m_random()));
    if (host.upstream.empty()) {
        BalancerHooks out;
        out.forward = [this, &host](const Endpoint &agent, const DataPacket &packet) {
            Host *to = hostAt(agent);
            if (to != nullptr) {
                transmit(&host, *to, options.data, [this, &host, to, packet] {
                    ++to->packets;
                    // The payload is the key of the request in m_requests; see addCaller().
                    const Request request = m_requests.at(packet.payload);
                    to->agent->onPacket(host.endpoint, packet, request, m_now);
                });
            }
        };
        host.balancer = std::make_unique<BalancerNode>(*host.dissemination, std::move(out));
    } else {
        bootAgent(host);
    }
    host.dissemination->start(m_now);
    tick(host, host.generation);
}

void TestFleet::bootAgent(Host &host)
{
    AgentSettings settings;
    settings.upstream = UpstreamId(host.upstream);
    settings.service = host.service;
    settings.domain = host.domain;
    settings.mechanisms = m_mechanisms;
    AgentHooks hooks;
    hooks.sendToAgent = [this, &host](const Endpoint &agent, const DataPacket &packet) {
        Host *to = hostAt(agent);
        if (to != nullptr && to->agent) {
            transmit(&host, *to, options.data, [this, &host, to, packet] {
                ++to->packets;
                const Request request = m_requests.at(packet.payload);
                to->agent->onPacket(host.endpoint, packet, request, m_now);
            });
        }
    };
    hooks.sendToCaller = [this](const Endpoint &caller, const Response &response) {
        toCaller(caller, response);
    };
    hooks.run = [this, &host](RunId run, const Request &request, Millis) {
        runAtUpstream(host, run, request);
    };
    // The fake upstream completes cancelled requests; the agent ignores their answers.
    hooks.cancel = [](RunId) {
    };
    hooks.sendLoad = [this, &host](const Endpoint &agent, const LoadReport &report) {
        Host *to = hostAt(agent);
        const std::size_t bytes = encode(report).size() + UdpOverhead;
        host.controlBytes += bytes;
        if (to != nullptr && to->agent) {
            to->controlBytes += bytes;
            transmit(&host, *to, options.control,
                     [this, to, report] { to->agent->onLoadReport(report, m_now); });
        }
    };
    hooks.sendHandover = [this, &host](const Endpoint &agent, const HandoverMessage &message) {
        Host *to = hostAt(agent);
        if (to == nullptr || !to->agent) {
            return;
        }
        // Each call uses its own connection: calls may be reordered, and requests or replies lost.
        transmit(&host, *to, options.control, [this, &host, to, message] {
            if (to->agent->onHandover(message, m_now)) {
                transmit(to, host, options.control, [this, &host, to, id = message.id] {
                    if (host.agent) {
                        host.agent->onHandoverAck(to->endpoint, id, m_now);
                    }
                });
            }
        });
    };
    host.agent = std::make_unique<AgentNode>(settings, *host.dissemination, std::move(hooks),
                                             seededRandom(m_random()));
}

void TestFleet::tick(Host &host, std::uint64_t generation)
{
    if (!host.alive || host.generation != generation) {
        return;
    }
    if (!host.frozen) {
        host.dissemination->onTick(m_now);
        if (host.agent) {
            host.agent->onTick(m_now);
        }
    }
    after(TickInterval, [this, &host, generation] { tick(host, generation); });
}

void TestFleet::after(Millis delay, std::function<void()> event)
{
    m_events.push({m_now + delay, m_order++, std::move(event)});
}

void TestFleet::run(Millis time)
{
    runUntil([] { return false; }, time);
}

bool TestFleet::runUntil(const std::function<bool()> &condition, Millis time)
{
    const Instant until = m_now + time;
    while (!condition()) {
        if (m_events.empty() || m_events.top().at > until) {
            m_now = until;
            return condition();
        }
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    return true;
}

void TestFleet::deliver(Host &host, std::function<void()> action)
{
    if (!host.alive) {
        return;
    }
    if (host.frozen) {
        host.inbox.push_back(std::move(action));
        return;
    }
    action();
}

double TestFleet::uniformReal()
{
    constexpr double TwoPow53 = 9007199254740992.0;
    constexpr unsigned Shift = 11;
    return static_cast<double>(m_random() >> Shift) / TwoPow53;
}

Millis TestFleet::delay(const NetworkFaults &faults)
{
    const auto spread = static_cast<std::uint64_t>((faults.delayMax - faults.delayMin).count());
    return faults.delayMin + Millis(static_cast<std::int64_t>(randomBelow(m_random, spread + 1)));
}

void TestFleet::transmit(const Host *from, Host &to, const NetworkFaults &faults,
                         const std::function<void()> &action)
{
    if (from != nullptr && m_isDisconnected && m_isDisconnected(*from, to)) {
        return;
    }
    if (uniformReal() < faults.loss) {
        return;
    }
    const int copies = uniformReal() < faults.duplicate ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        after(delay(faults), [this, &to, generation = to.generation, action] {
            if (to.generation == generation) {
                deliver(to, action);
            }
        });
    }
}

Host *TestFleet::hostAt(const Endpoint &endpoint)
{
    for (const auto &[name, host] : m_hosts) {
        if (host->endpoint == endpoint) {
            return host.get();
        }
    }
    return nullptr;
}

std::vector<std::string> TestFleet::hostNames(const std::string &prefix) const
{
    std::vector<std::string> names;
    for (const auto &[name, host] : m_hosts) {
        if (name.starts_with(prefix)) {
            names.push_back(name);
        }
    }
    return names;
}

// ---- The document and the platform

Upstream &TestFleet::entry(const std::string &upstream)
{
    return *std::find_if(m_entries.begin(), m_entries.end(),
                         [&](const Upstream &e) { return e.id.str() == upstream; });
}

void TestFleet::removeEntry(const std::string &upstream)
{
    std::erase_if(m_entries, [&](const Upstream &e) { return e.id.str() == upstream; });
}

std::string TestFleet::serviceText(bool kits) const
{
    std::string text = "services:\n  - name: " + (kits ? kitsName.str() : "lists")
        + "\n    address: " + (kits ? kitsAddress : listsAddress).str() + "\n    upstreams:\n";
    for (const Upstream &entry : m_entries) {
        if (entry.id.str().starts_with("kits") == kits) {
            text += "      - {id: " + entry.id.str() + ", vm: " + entry.vm.str()
                + ", domain: " + entry.domain.str() + ", agent: \"" + entry.agent.str()
                + "\", weight: " + std::to_string(entry.weight.value())
                + ", state: " + stateText(entry.state) + "}\n";
        }
    }
    return text;
}

void TestFleet::publish()
{
    std::string domains = "failure_domains:\n";
    for (const FailureDomain &domain : m_domains) {
        domains += "  - {id: " + domain.id.str() + ", state: " + stateText(domain.state) + "}\n";
    }
    publishText("domains", domains);
    publishText("kits", serviceText(true));
    publishOtherSections();
}

void TestFleet::publishOtherSections()
{
    std::string root = "sections: [domains, kits";
    if (options.otherUpstreams > 0) {
        publishText("lists", serviceText(false));
        root += ", lists";
    }
    publishText("root", root + "]\n");
}

void TestFleet::publishText(const std::string &section, const std::string &text)
{
    Value &value = m_values[section];
    if (value.text == text) {
        return;
    }
    m_revision = Revision(m_revision.value() + 1);
    value = {m_revision, text};
    m_history[m_revision] = m_values;
}

void TestFleet::rewindPlatform(Revision revision)
{
    m_values = m_history.at(revision);
    m_revision = revision;
}

void TestFleet::disconnectPlatform(const std::string &domain, bool isDisconnected)
{
    m_disconnectedDomain = isDisconnected ? domain : std::string();
}

void TestFleet::setPlatform(bool down, bool stale)
{
    if (stale && !m_stale) {
        m_oldValues = m_values;
        m_oldRevision = m_revision;
    }
    m_down = down;
    m_stale = stale;
}

ChangeBatch TestFleet::platformBatch(Revision since) const
{
    const auto &values = m_stale ? m_oldValues : m_values;
    ChangeBatch batch {since, m_stale ? m_oldRevision : m_revision, {}};
    for (const auto &[name, value] : values) {
        if (value.revision > since) {
            batch.changes.push_back({SectionName(name), value.revision, value.text, false});
        }
    }
    return batch;
}

void TestFleet::platformRead(Host &host, Revision since, bool watch)
{
    ++m_platformCalls;
    constexpr Millis WatchTime {30'000};
    constexpr Millis WatchPoll {20};
    const std::uint64_t generation = host.generation;
    const Instant until = m_now + (watch ? WatchTime : PlatformDelay);
    const auto poll = std::make_shared<std::function<void()>>();
    const std::weak_ptr<std::function<void()>> weak = poll;
    *poll = [this, &host, since, watch, generation, until, weak] {
        const auto self = weak.lock();
        if (host.generation != generation || !self) {
            return;
        }
        if (m_down || host.domain.str() == m_disconnectedDomain || host.name == m_updatesBlocked) {
            deliver(host, [this, &host] { host.dissemination->onPlatformFailed(m_now); });
            return;
        }
        const Revision served = m_stale ? m_oldRevision : m_revision;
        if (watch && served <= since && m_now < until) {
            after(WatchPoll, [self] { (*self)(); });
            return;
        }
        const ChangeBatch batch = platformBatch(since);
        deliver(host, [this, &host, batch] { host.dissemination->onPlatformBatch(batch, m_now); });
    };
    after(PlatformDelay, [poll] { (*poll)(); });
}

bool TestFleet::isUpToDateEverywhere() const
{
    return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const auto &named) {
        const Host &host = *named.second;
        return !host.alive || host.frozen
            || (host.dissemination->isReady(m_now) && host.dissemination->revision() >= m_revision);
    });
}

// ---- Faults

void TestFleet::freeze(const std::string &name)
{
    host(name).frozen = true;
}

void TestFleet::wake(const std::string &name)
{
    Host &woken = host(name);
    woken.frozen = false;
    const auto inbox = std::move(woken.inbox);
    woken.inbox.clear();
    for (const auto &action : inbox) {
        deliver(woken, action);
    }
}

void TestFleet::kill(const std::string &name)
{
    Host &victim = host(name);
    victim.alive = false;
    ++victim.generation;
    victim.inbox.clear();
}

void TestFleet::start(const std::string &name)
{
    boot(host(name));
}

} // namespace bergamotglade::tests
