#include "rig.hpp"

#include <algorithm>

namespace rig {

// Hosts.

Host::Host(Rig &rig, std::string name, std::string service, std::string zone, std::uint32_t ip)
    : m_rig(rig)
    , m_name(std::move(name))
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_ip(ip)
{ }

Address Host::app() const
{
    return {m_ip, m_rig.ports.app()};
}

bool Host::isCold() const
{
    return m_isRunning && nowMs() < m_coldUntil;
}

bool Host::isRegistered() const
{
    return m_isWritten;
}

void Host::start(bool isCold)
{
    ++m_incarnation;
    m_id = m_name + "-" + std::to_string(m_incarnation);
    m_isRunning = true;
    m_isDraining = false;
    m_isWritten = false;
    m_sequence = 0;
    m_running = 0;
    m_waiting.clear();
    m_flows.clear();
    m_startedAt = nowMs();
    m_coldUntil =
        isCold ? m_startedAt + static_cast<Ms>(m_rig.settings.coldStartSeconds * 1000) : 0;
    timespec wall {};
    clock_gettime(CLOCK_REALTIME, &wall);
    m_bornMs = static_cast<std::uint64_t>(wall.tv_sec) * 1000
        + static_cast<std::uint64_t>(wall.tv_nsec) / 1'000'000;
    m_udp = openSocket(SOCK_DGRAM, app());
    m_tcp = openSocket(SOCK_STREAM, app());
    m_rig.loop.watch(m_udp, [this] {
        std::string bytes;
        while (m_isRunning && receive(m_udp, bytes)) {
            onPacket(bytes);
        }
    });
    m_rig.loop.watch(m_tcp, [this] {
        const int fd = accept4(m_tcp, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) {
            const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            send(fd, reply.data(), reply.size(), MSG_NOSIGNAL);
            close(fd);
        }
    });
    m_rig.record("host " + m_id + " starts at " + app().str() + (isCold ? ", cold" : ""));
    heartbeat(m_incarnation);
}

void Host::crash()
{
    const std::string id = m_id;
    m_isRunning = false;
    m_rig.loop.unwatch(m_udp);
    m_rig.loop.unwatch(m_tcp);
    close(m_udp);
    close(m_tcp);
    m_flows.clear();
    m_rig.record("host " + id + " ends");
}

void Host::becomeCold()
{
    m_coldUntil = nowMs() + static_cast<Ms>(m_rig.settings.coldStartSeconds * 1000);
    m_isWritten = false;
    writeEntry();
}

void Host::drain(std::function<void()> onAccepted)
{
    m_isDraining = true;
    m_isWritten = false;
    m_onDrainAccepted = std::move(onAccepted);
    writeEntry();
}

std::string Host::entry() const
{
    const Ms cold = std::max<Ms>(0, m_coldUntil - nowMs());
    return "{\"service\":\"" + m_service + "\",\"address\":\"" + app().str() + "\",\"zone\":\""
        + m_zone + "\",\"version\":\"v1\",\"slots\":" + std::to_string(m_rig.settings.slots)
        + ",\"state\":\"" + (m_isDraining ? "draining" : "ready") + "\",\"cold_remaining_ms\":"
        + std::to_string(cold) + ",\"sequence\":" + std::to_string(m_sequence)
        + ",\"born\":" + std::to_string(m_bornMs) + "}";
}

bool Host::writeEntry()
{
    ++m_sequence;
    const std::string key = "servers/" + m_id;
    const bool accepted = m_isWritten && m_rig.store->holds(key)
        ? m_rig.store->refresh(key, entry())
        : m_rig.store->put(key, entry());
    if (!accepted) {
        return false;
    }
    m_rig.lastWritten[key] = nowMs();
    if (!m_isWritten) {
        m_isWritten = true;
        m_rig.record("store accepts " + key + " " + entry());
        if (m_isDraining && m_onDrainAccepted) {
            m_onDrainAccepted();
            m_onDrainAccepted = nullptr;
        }
    }
    return true;
}

void Host::heartbeat(int incarnation)
{
    if (!m_isRunning || incarnation != m_incarnation) {
        return;
    }
    writeEntry();
    m_rig.loop.after(m_rig.settings.heartbeatMs, [this, incarnation] { heartbeat(incarnation); });
}

void Host::sendPacket(const Key &key, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack,
                      const std::string &data)
{
    Packet p;
    p.flags = flags;
    p.src = key.second;
    p.dst = key.first;
    p.seq = seq;
    p.ack = ack;
    p.data = data;
    p.sum = sumOf(p);
    sendTo(m_udp, {m_ip, m_rig.ports.outbound()}, encode(p));
}

void Host::onPacket(const std::string &bytes)
{
    Packet p;
    if (!decode(bytes, p) || p.sum != sumOf(p)) {
        m_rig.record("host " + m_id + " got a packet that its sender didn't write so");
        return;
    }
    const Key key {p.src, p.dst};
    const auto found = m_flows.find(key);
    if (p.has(Syn)) {
        Flow &flow = m_flows[key];
        if (found == m_flows.end()) {
            flow.clientNext = p.seq + 1;
            flow.own = m_rig.randomNumber();
            flow.next = flow.own + 1;
            if (onTaken) {
                onTaken(p);
            }
        }
        sendPacket(key, Syn | Ack, flow.own, flow.clientNext, {});
        return;
    }
    const bool isOwn =
        found != m_flows.end() && (found->second.isOpen || p.ack == found->second.own + 1);
    if (m_rig.onData && !p.data.empty()) {
        m_rig.onData(*this, p, isOwn);
    }
    if (!isOwn) {
        std::string back = bytes;
        back[10] = static_cast<char>(back[10] | Bounced);
        back[11] = '\0';
        sendTo(m_udp, {m_ip, m_rig.ports.outbound()}, back);
        return;
    }
    Flow &flow = found->second;
    flow.isOpen = true;
    if (p.has(Rst)) {
        m_flows.erase(found);
        return;
    }
    if (p.has(Fin)) {
        sendPacket(key, Fin | Ack, flow.next, p.seq + 1, {});
        return;
    }
    if (p.data.empty()) {
        return;
    }
    if (p.seq != flow.clientNext) {
        if (!flow.answer.empty() && p.seq + p.data.size() == flow.clientNext) {
            respond(key, flow); // the client has not got the answer yet
        }
        return;
    }
    flow.clientNext += static_cast<std::uint32_t>(p.data.size());
    flow.requestId = p.data.substr(0, p.data.find('\n'));
    flow.answer.clear();
    m_waiting.push_back(key);
    work(key, m_incarnation);
}

void Host::work(const Key & /*key*/, int incarnation)
{
    if (incarnation != m_incarnation || !m_isRunning) {
        return;
    }
    while (m_running < static_cast<int>(m_rig.settings.slots) && !m_waiting.empty()) {
        const Key next = m_waiting.front();
        m_waiting.erase(m_waiting.begin());
        const auto found = m_flows.find(next);
        if (found == m_flows.end()) {
            continue;
        }
        ++m_running;
        m_rig.record("run " + found->second.requestId + " at " + m_id);
        const Ms time = isCold() ? m_rig.settings.workMs * 8 / 5 : m_rig.settings.workMs;
        m_rig.loop.after(time, [this, next, incarnation] {
            if (incarnation != m_incarnation || !m_isRunning) {
                return;
            }
            --m_running;
            const auto flow = m_flows.find(next);
            if (flow != m_flows.end()) {
                flow->second.answer = "200 " + flow->second.requestId + " " + m_id + "\n";
                flow->second.resends = 0;
                respond(next, flow->second);
                flow->second.next += static_cast<std::uint32_t>(flow->second.answer.size());
            }
            work(next, incarnation);
        });
    }
}

void Host::respond(const Key &key, Flow &flow)
{
    const bool isRepeat = flow.resends > 0;
    const std::uint32_t seq =
        isRepeat ? flow.next - static_cast<std::uint32_t>(flow.answer.size()) : flow.next;
    ++flow.resends;
    sendPacket(key, Ack, seq, flow.clientNext, flow.answer);
}

// The fleet.

Rig::Rig(std::string scratch, std::string recordPath, RigSettings chosen)
    : settings(std::move(chosen))
    , m_scratch(std::move(scratch))
    , m_record(recordPath)
{
    random.seed(static_cast<std::uint64_t>(nowMs()) * 100'000
                + static_cast<std::uint64_t>(getpid()));
}

Rig::~Rig()
{
    for (Daemon &daemon : daemons) {
        if (daemon.pid > 0) {
            kill(daemon.pid, SIGCONT);
            kill(daemon.pid, SIGKILL);
            waitpid(daemon.pid, nullptr, 0);
        }
    }
}

void Rig::record(const std::string &line)
{
    char time[32];
    snprintf(time, sizeof time, "%9.3f ", static_cast<double>(nowMs() - m_startTime) / 1000);
    m_record << time << line << '\n';
}

bool Rig::choosePorts()
{
    for (int i = 0; i < 50; ++i) {
        ports.base = static_cast<std::uint16_t>(12000 + randomNumber() % 18000);
        bool free = true;
        for (std::uint16_t p = 0; p < 7 && free; ++p) {
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int fd = openSocket(type, {0, static_cast<std::uint16_t>(ports.base + p)});
                free = free && fd >= 0;
                if (fd >= 0) {
                    close(fd);
                }
            }
        }
        if (free) {
            return true;
        }
    }
    return false;
}

bool Rig::start()
{
    if (!choosePorts()) {
        return false;
    }
    store = std::make_unique<Store>(loop, Address {ipOf(30, 0, 1), ports.store()});
    if (!store->isOpen()) {
        return false;
    }
    unsigned zoneNumber = 0;
    for (const std::string &zone : settings.zones) {
        ++zoneNumber;
        for (unsigned i = 1; i <= settings.balancersPerZone; ++i) {
            daemons.push_back({"frontend-" + zone + "-" + std::to_string(i),
                               zone,
                               ipOf(10, zoneNumber, i),
                               false,
                               {}});
        }
        for (unsigned i = 1; i <= settings.hostsPerZone; ++i) {
            const std::string name = "side-" + zone + "-" + std::to_string(i);
            const std::uint32_t ip = ipOf(20, zoneNumber, i);
            daemons.push_back({name, zone, ip, true, service});
            hosts.push_back(std::make_unique<Host>(*this, name, service, zone, ip));
        }
        for (unsigned i = 1; i <= settings.otherHostsPerZone; ++i) {
            const std::string name = "side-" + zone + "-other-" + std::to_string(i);
            const std::uint32_t ip = ipOf(20, zoneNumber, 100 + i);
            daemons.push_back({name, zone, ip, true, otherService});
            hosts.push_back(std::make_unique<Host>(*this, name, otherService, zone, ip));
        }
    }
    writeConfig(7,
                settings.otherWeight
                    ? splitTarget(100 - *settings.otherWeight, *settings.otherWeight)
                    : serviceTarget(service));
    for (const auto &host : hosts) {
        host->start(false);
    }
    for (Daemon &daemon : daemons) {
        startDaemon(daemon);
    }
    m_isFirstStart = false;
    for (unsigned i = 0; i < 3 * settings.zones.size(); ++i) {
        const int fd = openSocket(SOCK_DGRAM, {ipOf(40, 0, i + 1), ports.datagram()});
        if (fd < 0) {
            return false;
        }
        m_clients.push_back(fd);
        loop.watch(fd, [this, fd, i] {
            std::string bytes;
            while (receive(fd, bytes)) {
                onClientPacket(static_cast<int>(i), bytes);
            }
        });
    }
    probeReadiness();
    reap();
    return true;
}

void Rig::writeConfig(unsigned version, const std::string &target)
{
    char cold[32];
    char coldTime[32];
    snprintf(cold, sizeof cold, "%.1f", settings.coldPerSecond);
    snprintf(coldTime, sizeof coldTime, "%.1f", settings.coldStartSeconds);
    const auto serviceText = [&](const std::string &name) {
        return "{\"name\":\"" + name
            + "\",\"health_path\":\"/health\",\"max_connections\":2000,"
              "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":"
            + coldTime + ",\"cold_per_s\":" + cold + "}";
    };
    store->put("op/config",
               "{\"version\":" + std::to_string(version)
                   + ",\"routes\":[{\"name\":\"r-1\",\"hostname\":\"" + routeAddress().ipText()
                   + "\",\"prefix\":\"/443/\",\"kind\":\"idempotent\",\"timeout_ms\":2000,"
                     "\"target_latency_ms\":250,\"priority\":2,"
                   + target + ",\"max_attempts\":2}],\"services\":[" + serviceText(service) + ","
                   + serviceText(otherService)
                   + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
                     "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
}

void Rig::writeSettings(const Daemon &daemon)
{
    // As deploy/settings.yaml.in renders them.
    const std::string ip = Address {daemon.ip, 0}.ipText();
    std::string seeds;
    unsigned zoneNumber = 0;
    for (std::size_t i = 0; i < settings.zones.size() && i < 3; ++i) {
        ++zoneNumber;
        seeds += std::string(seeds.empty() ? "" : ",") + "\""
            + Address {ipOf(10, settings.hasStaleSeeds ? 90 + zoneNumber : zoneNumber, 1),
                       ports.control()}
                  .str()
            + "\"";
    }
    std::ofstream out(m_scratch + "/" + daemon.name + ".yaml");
    out << "vm: \"" << daemon.name << "\"\nfailure_domain: \"" << daemon.zone << "\"\n"
        << "listen: " << ip << ":" << ports.inner() << "\n"
        << "platform: " << Address {ipOf(30, 0, 1), ports.store()}.str() << "\n"
        << "peers: [" << seeds << "]\npeers_at_own_port: true\nstop_timeout: 5s\nsteering:\n"
        << "  packets: " << ip << ":" << ports.datagram() << "\n"
        << "  ready: " << ip << ":" << ports.ready() << "\n"
        << "  flow_max: " << settings.maxFlowSeconds << "s\n  link_mbps: 1000.0\n";
    if (m_isFirstStart) {
        out << "  first_start: true\n";
    }
    if (daemon.isAgent) {
        out << "  from_upstream: " << ip << ":" << ports.outbound() << "\n"
            << "upstream: \"" << daemon.name << "\"\nservice: \"" << daemon.service << "\"\n"
            << "upstream_address: " << ip << ":" << ports.app() << "\n";
    }
}

void Rig::startDaemon(Daemon &daemon)
{
    writeSettings(daemon);
    const std::string settingsPath = "--settings=" + m_scratch + "/" + daemon.name + ".yaml";
    const std::string log = m_scratch + "/" + daemon.name + ".log";
    const char *program =
        daemon.isAgent ? "target/daemons/glade-agent" : "target/daemons/glade-balancer";
    const pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // no process outlives the script
        const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        execl(program, program, settingsPath.c_str(), nullptr);
        _exit(127);
    }
    daemon.pid = pid;
    daemon.startedAt = nowMs();
    ++daemon.starts;
    record("process " + daemon.name + " started");
}

void Rig::signalDaemon(Daemon &daemon, int signal) const
{
    if (daemon.pid > 0) {
        kill(daemon.pid, signal);
    }
}

void Rig::reap()
{
    for (Daemon &daemon : daemons) {
        int status = 0;
        if (daemon.pid > 0 && waitpid(daemon.pid, &status, WNOHANG) == daemon.pid) {
            record("process " + daemon.name + " ended, status " + std::to_string(status));
            daemon.pid = -1;
            failedStarts += nowMs() - daemon.startedAt < 1000 ? 1 : 0;
            if (restartsProcesses) {
                loop.after(restartDelay, [this, &daemon] { startDaemon(daemon); });
            }
        }
    }
    // Entries that no host has written for three heartbeats are removed.
    for (auto entry = lastWritten.begin(); entry != lastWritten.end();) {
        const bool isDue = nowMs() - entry->second > 3 * settings.heartbeatMs;
        if (isDue && store->remove(entry->first)) {
            record("store removes " + entry->first);
            entry = lastWritten.erase(entry);
        } else {
            ++entry;
        }
    }
    loop.after(10, [this] { reap(); });
}

void Rig::probeReadiness()
{
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        Daemon &daemon = daemons[i];
        if (daemon.isAgent) {
            continue;
        }
        if (++daemon.misses > 2 && daemon.isReady) {
            daemon.isReady = false;
            record("router takes " + daemon.name + " out of rotation");
        }
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const sockaddr_in to = Address {daemon.ip, ports.ready()}.socketAddress();
        if (connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0
            && errno != EINPROGRESS) {
            close(fd);
            continue;
        }
        loop.after(5, [fd] {
            const std::string request =
                "GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            send(fd, request.data(), request.size(), MSG_NOSIGNAL);
        });
        loop.after(300, [this, fd, i] {
            char buffer[256] {};
            const ssize_t size = recv(fd, buffer, sizeof buffer - 1, 0);
            close(fd);
            if (size > 0 && std::string(buffer).starts_with("HTTP/1.1 200")) {
                daemons[i].misses = 0;
                if (!daemons[i].isReady) {
                    record("router takes " + daemons[i].name + " into rotation");
                }
                daemons[i].isReady = true;
            }
        });
    }
    loop.after(500, [this] { probeReadiness(); });
}

bool Rig::waitReady()
{
    const Ms until = nowMs() + 15000;
    const auto allReady = [this] {
        return std::all_of(daemons.begin(), daemons.end(),
                           [](const Daemon &d) { return d.isAgent || d.isReady; });
    };
    while (!allReady() && nowMs() < until) {
        run(100);
    }
    run(3000); // traffic starts some seconds after the machines do
    return allReady();
}

void Rig::run(Ms duration)
{
    Loop &l = loop;
    l.after(duration, [&l] { l.stop(); });
    l.resume();
    l.run();
}

// Clients and routers.

void Rig::startTraffic()
{
    m_isTraffic = true;
    sendRequest();
}

std::shared_ptr<Attempt> Rig::newAttempt(const Address &caller)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->id = "a" + std::to_string(m_nextAttempt++);
    attempt->sentAt = nowMs();
    attempts[caller] = attempt;
    return attempt;
}

void Rig::sendRequest()
{
    if (!m_isTraffic) {
        return;
    }
    std::exponential_distribution<double> gap(settings.perSecond / 1000);
    loop.after(static_cast<Ms>(gap(random) + 0.5), [this] { sendRequest(); });
    if (settings.flowsMax != 0 && m_openFlows >= settings.flowsMax) {
        return;
    }
    auto flow = std::make_shared<ClientFlow>();
    flow->caller = {ipOf(40, 0, randomNumber() % m_clients.size() + 1), m_nextPort};
    m_nextPort = m_nextPort >= 60000 ? 20000 : static_cast<std::uint16_t>(m_nextPort + 1);
    flow->attempt = newAttempt(flow->caller);
    flow->route = routeAddress();
    flow->seq = randomNumber();
    flow->next = flow->seq + 1;
    record("client opens a flow for " + flow->attempt->id + " from " + flow->caller.str());
    m_flows[flow->caller] = flow;
    ++m_openFlows;
    sendSyn(flow, 0);
    for (const auto &[delay, copy] : {std::pair<Ms, unsigned>(200, 1), {600, 2}}) {
        loop.after(delay, [this, flow, copy = copy] {
            if (!flow->isOpen && !flow->isEnded) {
                sendSyn(flow, copy);
            }
        });
    }
    loop.after(1400, [this, flow] {
        if (!flow->isOpen) {
            finish(flow, "not opened");
        }
    });
    loop.after(settings.deadlineMs, [this, flow, attempt = flow->attempt] {
        if (attempt->outcome.empty()) {
            finish(flow, "deadline");
        }
    });
}

void Rig::nextRequest(const std::shared_ptr<ClientFlow> &flow)
{
    if (flow->isEnded) {
        return;
    }
    if (!m_isTraffic || nowMs() - flow->openedAt > settings.flowMaxMs) {
        sendClient(*flow, Fin | Ack, flow->next, flow->ack, {});
        finish(flow, "closed");
        return;
    }
    flow->attempt = newAttempt(flow->caller);
    flow->resends = 0;
    sendData(flow);
    loop.after(settings.deadlineMs, [this, flow, attempt = flow->attempt] {
        if (attempt->outcome.empty()) {
            finish(flow, "deadline");
        }
    });
}

void Rig::sendSyn(const std::shared_ptr<ClientFlow> &flow, unsigned copy)
{
    sendClient(*flow, Syn, flow->seq, copy, {});
}

void Rig::sendClient(const ClientFlow &flow, std::uint8_t flags, std::uint32_t seq,
                     std::uint32_t ack, const std::string &data)
{
    Packet p;
    p.flags = flags;
    p.src = flow.caller;
    p.dst = flow.route;
    p.seq = seq;
    p.ack = ack;
    p.data = data;
    p.sum = sumOf(p);
    const std::size_t client = (flow.caller.ip & 0xffU) - 1;
    const std::string &zone = settings.zones[client % settings.zones.size()];
    std::vector<const Daemon *> ready;
    std::vector<const Daemon *> all;
    std::vector<const Daemon *> elsewhere;
    for (const Daemon &daemon : daemons) {
        if (daemon.isAgent) {
            continue;
        }
        if (daemon.zone == zone) {
            all.push_back(&daemon);
            if (daemon.isReady) {
                ready.push_back(&daemon);
            }
        } else if (daemon.isReady) {
            elsewhere.push_back(&daemon);
        }
    }
    if (ready.empty() && !elsewhere.empty()) {
        ready = elsewhere;
    } else if (ready.size() * 2 < all.size()) {
        ready = all;
    }
    if (ready.empty()) {
        return;
    }
    std::uint64_t hash = p.src.ip * 2654435761ULL + p.src.port * 40503ULL + p.dst.ip + p.dst.port;
    hash ^= hash >> 15U;
    hash *= 0x2c1b3c6dULL;
    hash ^= hash >> 12U;
    sendTo(m_clients[client], {ready[hash % ready.size()]->ip, ports.datagram()}, encode(p));
}

void Rig::sendData(const std::shared_ptr<ClientFlow> &flow)
{
    if (flow->isEnded || !flow->attempt->outcome.empty()) {
        return;
    }
    sendClient(*flow, Ack, flow->next, flow->ack, flow->attempt->id + "\n");
    const Ms wait = std::min<Ms>(1600, Ms(200) << std::min(flow->resends, 3));
    ++flow->resends;
    loop.after(wait, [this, flow, attempt = flow->attempt] {
        if (flow->attempt == attempt) {
            sendData(flow);
        }
    });
}

void Rig::onClientPacket(int /*client*/, const std::string &bytes)
{
    Packet p;
    if (!decode(bytes, p)) {
        record("client got a packet that can't be read");
        return;
    }
    const auto found = m_flows.find(p.dst);
    if (found == m_flows.end()) {
        return;
    }
    const std::shared_ptr<ClientFlow> flow = found->second;
    if (p.has(Rst)) {
        const std::uint32_t distance = p.seq - (flow->ack - 76800);
        if (!flow->isEnded && (!flow->isOpen || distance <= 2 * 76800)) {
            if (flow->isOpen && onReset) {
                onReset(*flow);
            }
            finish(flow, "reset");
        }
        return;
    }
    if (p.sum != sumOf(p)) {
        record("client got a packet that its sender didn't write so: " + flow->attempt->id);
        return;
    }
    if (flow->isEnded) {
        return;
    }
    if (p.has(Syn)) {
        if (!flow->isOpen) {
            flow->isOpen = true;
            flow->openedAt = nowMs();
            flow->ack = p.seq + 1;
            sendData(flow);
        }
        return;
    }
    if (p.data.empty()) {
        return;
    }
    if (p.seq != flow->ack) {
        sendClient(*flow, Ack, flow->next, flow->ack, {});
        return;
    }
    flow->ack += static_cast<std::uint32_t>(p.data.size());
    const bool isOwn = p.data.starts_with("200 " + flow->attempt->id + " ");
    flow->next += static_cast<std::uint32_t>(flow->attempt->id.size()) + 1;
    if (settings.pauseMax == 0 || !isOwn) {
        sendClient(*flow, Fin | Ack, flow->next, flow->ack, {});
        finish(flow, isOwn ? "answered" : "foreign answer: " + p.data);
        return;
    }
    sendClient(*flow, Ack, flow->next, flow->ack, {});
    flow->attempt->outcome = "answered";
    ++answered;
    record("client ends " + flow->attempt->id + ": answered");
    loop.after(static_cast<Ms>(randomNumber() % static_cast<std::uint32_t>(settings.pauseMax)),
               [this, flow] { nextRequest(flow); });
}

void Rig::finish(const std::shared_ptr<ClientFlow> &flow, const std::string &outcome)
{
    if (flow->isEnded) {
        return;
    }
    flow->isEnded = true;
    --m_openFlows;
    if (outcome != "closed") {
        flow->attempt->outcome = outcome;
        ++(outcome == "answered" ? answered : failed);
    }
    record("client ends " + flow->attempt->id + ": " + outcome);
    loop.after(3000, [this, caller = flow->caller, flow] {
        const auto found = m_flows.find(caller);
        if (found != m_flows.end() && found->second == flow) {
            m_flows.erase(found);
        }
    });
}

} // namespace rig
