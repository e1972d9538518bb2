#include "steering_runtime.hpp"

#include <bergamotglade/detail/daemon/log.hpp>
#include <bergamotglade/detail/net/json_codec.hpp>

#include <nlohmann/json.hpp>

namespace bergamotglade {

namespace {

constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t StatusBadRequest = 400;
constexpr std::uint16_t StatusUnavailable = 503;
constexpr std::uint16_t StatusNotFound = 404;
constexpr std::string_view ReadyPath = "/v1/ready";

// Intervals of dissemination between steering processes: a change of the configuration must be in
// force within three seconds, also if a failure domain loses its readers (the processes that read
// the platform).
constexpr Millis GossipInterval {400};
constexpr Millis ReaderTimeout {600};
constexpr Millis ChangeCoalescingTime {150};
/// Time without a reply from any agent after which a process considers itself isolated. The fabric
/// takes up to one second more to notice that a balancer is not ready.
constexpr Millis IsolationTimeout {1000};
constexpr Millis PlatformRetryMin {200};
constexpr Millis PlatformRetryMax {1000};
/// Shortest interval between log lines about invalid packets.
constexpr Millis BadPacketLogInterval {1000};

DirectorySettings directorySettings(const CommonSettings &common,
                                    const SteeringDaemonSettings &steering)
{
    DirectorySettings settings;
    settings.homeDomain = common.domain;
    settings.flowLifetimeMax = steering.flowMax;
    settings.isFirstStart = steering.isFirstStart;
    return settings;
}

/// Passes a datagram to a handler of its type, if the role has one.
template <typename Message>
void dispatch(const Datagram &datagram, const std::function<void(const Message &)> &handler)
{
    const auto *message = std::get_if<Message>(&datagram);
    if (message != nullptr && handler) {
        handler(*message);
    }
}

} // namespace

SteeringRuntime::SteeringRuntime(const CommonSettings &common,
                                 const SteeringDaemonSettings &steering, SteeringRuntimeHooks hooks)
    : m_common(common)
    , m_steering(steering)
    , m_hooks(std::move(hooks))
    , m_directory(directorySettings(common, steering))
{ }

Result<std::unique_ptr<SteeringRuntime>>
SteeringRuntime::open(boost::asio::io_context &io, const CommonSettings &common,
                      const SteeringDaemonSettings &steering, const PlatformAdapter &adapter,
                      SteeringRuntimeHooks hooks)
{
    std::unique_ptr<SteeringRuntime> runtime(
        new SteeringRuntime(common, steering, std::move(hooks)));
    const auto started = runtime->start(io, adapter);
    if (!started) {
        return started.error();
    }
    return runtime;
}

Result<void> SteeringRuntime::start(boost::asio::io_context &io, const PlatformAdapter &adapter)
{
    m_storeClient = std::make_unique<HttpClient>(io);
    m_configurationSource = adapter.openConfigurationSource(
        *m_storeClient, {m_common.platform, m_steering.packets.port, m_steering.watchTime});
    auto packets = UdpSocket::open(
        io, m_steering.packets,
        [this](const Endpoint &from, std::string_view bytes) { m_hooks.onPacket(from, bytes); });
    if (!packets) {
        return packets.error();
    }
    m_packetSocket = std::move(packets.value());
    if (m_steering.ready != Endpoint()) {
        auto ready =
            HttpServer::listen(io, m_steering.ready,
                               [this](const HttpRequest &request, const HttpResponder &respond,
                                      const std::function<bool()> &) {
                                   if (request.target == ReadyPath) {
                                       serveReady(respond);
                                   } else {
                                       respond({StatusNotFound, "text/plain", "unknown\n", {}});
                                   }
                               });
        if (!ready) {
            return ready.error();
        }
        m_readyServer = std::move(ready.value());
    }
    auto plane = ControlPlane::open(io, m_common, controlHooks(), systemRandom());
    if (!plane) {
        return plane.error();
    }
    m_plane = std::move(plane.value());
    Metrics &metrics = m_plane->metrics();
    metrics.addGauge("routes", "Routes in force",
                     [this] { return static_cast<double>(m_directory.routeCount()); });
    metrics.addGauge("upstreams", "Upstreams known",
                     [this] { return static_cast<double>(m_directory.upstreams().size()); });
    metrics.addCounterRef("bad_packets", "Packets that could not be read", m_badPackets);
    m_plane->start(Clock::now());
    return boost::outcome_v2::success();
}

void SteeringRuntime::setFlowLifetimeMax(Millis lifetime, Instant now)
{
    if (lifetime == m_steering.flowMax) {
        return;
    }
    m_steering.flowMax = lifetime;
    m_directory.setFlowLifetimeMax(lifetime, now);
    logEvent("flow lifetime changed", {{"flow_max_ms", lifetime.count()}});
}

ControlPlaneHooks SteeringRuntime::controlHooks()
{
    ControlPlaneHooks hooks;
    hooks.source = m_configurationSource;
    hooks.applySection = [this](const SectionChange &change) {
        return m_directory.applySection(change, Clock::now());
    };
    hooks.isOlderSection = &Directory::isOlderRoutes;
    hooks.agents = [this] {
        std::vector<Endpoint> agents;
        for (const auto &[id, known] : m_directory.upstreams()) {
            agents.push_back(controlEndpoint(known.entry.agent));
        }
        return agents;
    };
    hooks.adjustSettings = [](DisseminationSettings &settings) {
        // onDirectoryChange() identifies VMs by their control endpoints.
        settings.vm = VmId(settings.self.str());
        settings.gossipInterval = GossipInterval;
        settings.readerTimeout = ReaderTimeout;
        settings.changeCoalescingTime = ChangeCoalescingTime;
        settings.isolationTimeout = IsolationTimeout;
        settings.retryMin = PlatformRetryMin;
        settings.retryMax = PlatformRetryMax;
        settings.readersPerDomain = 1;
        settings.readingDomains = 2;
        settings.unlistedRank = 1;
        settings.asksReaders = true;
    };
    hooks.onDatagram = [this](const Endpoint & /*from*/, Datagram &&datagram) {
        if (const auto *report = std::get_if<LoadReport>(&datagram)) {
            onLoadReport(*report);
        }
        dispatch(datagram, m_hooks.onFlowLocated);
        dispatch(datagram, m_hooks.onFlowQuery);
        dispatch(datagram, m_hooks.onFlowAnswer);
        dispatch(datagram, m_hooks.onFlowLocations);
        dispatch(datagram, m_hooks.onOwnersQuery);
        dispatch(datagram, m_hooks.onOwnersList);
        dispatch(datagram, m_hooks.onHeartbeat);
    };
    hooks.onChange = [this] {
        onDirectoryChange();
        m_hooks.onViewChange(Clock::now());
    };
    hooks.onConfirmed = [this] {
        m_hooks.onViewChange(Clock::now());
    };
    hooks.onRequest = [this](const HttpRequest &request, const HttpResponder &respond) {
        const bool isFlowQuery = request.target.starts_with("/v1/flow?");
        if (isFlowQuery) {
            serveFlow(request, respond);
        }
        return isFlowQuery;
    };
    hooks.addStatus = [this](nlohmann::json &status) {
        status["route_version"] = m_directory.version();
        m_hooks.addStatus(status);
    };
    return hooks;
}

void SteeringRuntime::onLoadReport(const LoadReport &report)
{
    const bool acceptsFlows = !report.draining && !report.failingUpstream;
    if (acceptsFlows && report.upstream != Endpoint()) {
        const Announcement announcement {report.service, report.domain, report.sender,
                                         report.upstream, static_cast<std::uint32_t>(report.limit)};
        if (m_directory.announce(announcement, Clock::now())) {
            logEvent("upstream announced",
                     {{"agent", report.sender.str()},
                      {"upstream", report.upstream.str()},
                      {"service", report.service.str()}});
        }
    }
    m_hooks.onLoadReport(report);
}

void SteeringRuntime::onDirectoryChange()
{
    std::vector<Vm> vms;
    for (const auto &[id, known] : m_directory.upstreams()) {
        const Endpoint control = controlEndpoint(known.entry.agent);
        vms.push_back({VmId(control.str()), known.entry.domain, control, known.entry.leaving});
    }
    m_plane->dissemination().onVmList(vms, Clock::now());
    if (m_directory.version() != m_loggedVersion) {
        m_loggedVersion = m_directory.version();
        logEvent("routes in force",
                 {{"version", m_loggedVersion},
                  {"routes", static_cast<std::uint64_t>(m_directory.routeCount())}});
    }
}

void SteeringRuntime::onTick(Instant now)
{
    if (m_directory.expire(now)) {
        onDirectoryChange();
    }
    m_plane->onTick(now);
    const bool ready = m_hooks.isReady();
    if (ready != m_wasReady) {
        m_wasReady = ready;
        logEvent(ready ? "ready" : "not ready",
                 {{"version", m_directory.version()},
                  {"revision", m_plane->dissemination().revision().value()},
                  {"upstreams", static_cast<std::uint64_t>(m_directory.upstreams().size())}});
    }
}

Endpoint SteeringRuntime::controlEndpoint(const Endpoint &agent) const
{
    return {agent.address, m_common.listen.port};
}

void SteeringRuntime::serveReady(const HttpResponder &respond)
{
    const bool ready = m_hooks.isReady();
    respond({ready ? StatusOk : StatusUnavailable,
             "text/plain",
             ready ? "ready\n" : "not ready\n",
             {}});
}

void SteeringRuntime::serveFlow(const HttpRequest &request, const HttpResponder &respond)
{
    const auto caller = Endpoint::parse(queryText(request.target, "caller"));
    const auto service = Endpoint::parse(queryText(request.target, "service"));
    if (!caller || !service) {
        const Error &error = caller ? service.error() : caller.error();
        respond({StatusBadRequest,
                 "text/plain",
                 std::string(caller ? "service: " : "caller: ") + describe(error) + "\n",
                 {}});
        return;
    }
    respond({StatusOk,
             "application/json",
             toJson(m_hooks.explain({caller.value(), service.value()})),
             {}});
}

void SteeringRuntime::addUnroutedMetrics(const UnroutedFlowsCounters &counters)
{
    Metrics &metrics = m_plane->metrics();
    metrics.addCounterRef("unrouted_held", "Flows held because their route is not known here",
                          counters.flowsHeld);
    metrics.addCounterRef("unrouted_released", "Held flows whose route became known",
                          counters.flowsReleased);
    metrics.addCounterRef("unrouted_rejected", "Held flows whose route does not exist",
                          counters.flowsRejected);
    metrics.addCounterRef("unrouted_drops", "Packets of held flows dropped without an answer",
                          counters.packetsDropped);
}

void SteeringRuntime::sendPacket(const Endpoint &to, std::string_view bytes)
{
    m_packetSocket->send(to, bytes);
}

void SteeringRuntime::sendToCaller(const Endpoint &caller, std::string_view bytes)
{
    m_packetSocket->send({caller.address, m_steering.packets.port}, bytes);
}

void SteeringRuntime::sendControl(const Endpoint &process, std::string_view message)
{
    m_plane->sendControl(controlEndpoint(process), message);
}

SteeringLog SteeringRuntime::log() const
{
    return [](const SteeringEvent &event) {
        logDecision(event.decision,
                    {{"reason", std::string(event.reason)},
                     {"flow", event.flow.caller.str() + ">" + event.flow.service.str()},
                     {"target", event.target.str()},
                     {"version", event.version},
                     {"use", event.use},
                     {"load_age_ms", event.loadAge.count()},
                     {"expected_ms", event.expectedWait.count()}});
    };
}

bool SteeringRuntime::isConfirmed(Instant now) const
{
    return m_directory.hasRoutes() && m_plane->dissemination().isReady(now);
}

std::optional<Segment>
SteeringRuntime::decodePacket(const std::function<Result<Segment>(std::string_view)> &decode,
                              std::string_view bytes)
{
    auto segment = decode(bytes);
    if (!segment) {
        countBadPacket(segment.error());
        return std::nullopt;
    }
    return segment.value();
}

void SteeringRuntime::countBadPacket(const Error &error)
{
    ++m_badPackets;
    const Instant now = Clock::now();
    if (now - m_badPacketLoggedAt >= BadPacketLogInterval) {
        m_badPacketLoggedAt = now;
        logError("invalid packet dropped: " + describe(error) + ", " + std::to_string(m_badPackets)
                 + " dropped so far");
    }
}

} // namespace bergamotglade
