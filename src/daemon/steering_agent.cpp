#include "steering_runtime.hpp"

#include <bergamotglade/detail/daemon/log.hpp>
#include <bergamotglade/detail/steering/agent_steering.hpp>

#include <nlohmann/json.hpp>

#include <optional>

namespace bergamotglade {

namespace {

class SteeringAgentDaemon
{
public:
    SteeringAgentDaemon(AgentDaemonSettings settings, std::string path,
                        const PlatformAdapter &adapter)
        : m_settings(std::move(settings))
        , m_path(std::move(path))
        , m_adapter(adapter)
        , m_process(m_settings.common.stopTimeout, SteeringTickInterval)
    { }

    ExitCode run()
    {
        ProcessHooks hooks;
        hooks.start = [this] {
            return start();
        };
        hooks.stop = [this] {
            stop();
        };
        hooks.onTick = [this](Instant now) {
            m_runtime->onTick(now);
            m_steering->onTick(now);
        };
        hooks.onStop = [this](Instant now) {
            m_stopping = true;
            m_steering->stop(now);
        };
        hooks.isDone = [this] {
            return m_steering->openCount(Clock::now()) == 0;
        };
        hooks.onReload = [this] {
            m_process.reload(loadAgentSettings(m_path));
        };
        m_process.setHooks(std::move(hooks));
        return m_process.run();
    }

private:
    Result<void> start()
    {
        SteeringRuntimeHooks hooks;
        hooks.onPacket = [this](const Endpoint &from, std::string_view bytes) {
            if (const auto segment = m_runtime->read(m_adapter.packets.fromCaller, bytes)) {
                m_steering->onCallerPacket(*segment, PacketBytes(bytes), from, Clock::now());
            }
        };
        hooks.onLoadReport = [this](const LoadReport &report) {
            m_steering->onLoadReport(report, Clock::now());
        };
        hooks.isReady = [this] {
            return !m_stopping && m_runtime->isConfirmed(Clock::now());
        };
        hooks.addStatus = [this](nlohmann::json &status) {
            status["role"] = "agent";
            status["service"] = m_settings.agent.service.str();
            status["draining"] = m_stopping;
        };
        hooks.explain = [this](const FlowKey &flow) {
            return m_steering->explain(flow, Clock::now());
        };
        auto runtime = SteeringRuntime::open(m_process.io(), m_settings.common,
                                             *m_settings.steering, m_adapter, std::move(hooks));
        if (!runtime) {
            return runtime.error();
        }
        m_runtime = std::move(runtime.value());
        auto fromUpstream = UdpSocket::open(
            m_process.io(), m_settings.steering->fromUpstream,
            [this](const Endpoint & /*from*/, std::string_view bytes) { onUpstreamBytes(bytes); });
        if (!fromUpstream) {
            return fromUpstream.error();
        }
        m_fromUpstream = std::move(fromUpstream.value());
        AgentSteeringSettings steering;
        steering.self = m_settings.steering->packets;
        steering.upstream = m_settings.upstreamAddress;
        steering.service = m_settings.agent.service;
        steering.domain = m_settings.common.domain;
        steering.incarnation = m_runtime->plane().dissemination().settings().incarnation;
        steering.flowMax = m_settings.steering->flowMax;
        m_steering.emplace(std::move(steering), m_runtime->directory(), m_adapter.packets,
                           steeringHooks(), systemRandom(), Clock::now());
        addMetrics();
        logEvent("started",
                 {{"packets", m_settings.steering->packets.str()},
                  {"upstream", m_settings.upstreamAddress.str()},
                  {"service", m_settings.agent.service.str()},
                  {"control", m_runtime->plane().local().str()}});
        return boost::outcome_v2::success();
    }

    AgentSteeringHooks steeringHooks()
    {
        AgentSteeringHooks out;
        out.toUpstream = [this](const PacketBytes &bytes) {
            // Upstreams take packets from the address that they send to.
            m_fromUpstream->send(m_settings.upstreamAddress, bytes);
        };
        out.toAgent = [this](const Endpoint &agent, const PacketBytes &bytes) {
            m_runtime->sendPacket(agent, bytes);
        };
        out.toCaller = [this](const Endpoint &caller, const PacketBytes &bytes) {
            m_runtime->sendToCaller(caller, bytes);
        };
        out.report = [this](const Endpoint &process, const LoadReport &report) {
            m_runtime->sendReport(process, report);
        };
        out.tellLocation = [this](const Endpoint &process, const FlowLocated &located) {
            m_runtime->sendLocation(process, located);
        };
        out.peers = [this] {
            return m_runtime->plane().dissemination().peers();
        };
        out.mayAct = [this](Instant now) {
            return m_runtime->mayAct(now);
        };
        out.log = m_runtime->log();
        return out;
    }

    void onUpstreamBytes(std::string_view bytes)
    {
        if (const auto segment = m_runtime->read(m_adapter.packets.fromUpstream, bytes)) {
            m_steering->onUpstreamPacket(*segment, PacketBytes(bytes), Clock::now());
        }
    }

    void stop()
    {
        logEvent(
            "stopped",
            {{"flows_open",
              static_cast<std::uint64_t>(m_steering ? m_steering->openCount(Clock::now()) : 0)}});
        m_steering.reset();
        m_fromUpstream.reset();
        m_runtime.reset();
    }

    void addMetrics()
    {
        Metrics &metrics = m_runtime->plane().metrics();
        const AgentSteeringCounters &c = m_steering->counters();
        metrics.count("delivered", "Packets given to the upstream", c.delivered);
        metrics.count("to_callers", "Packets of the upstream sent to callers", c.toCallers);
        metrics.count("returned", "Packets that the upstream would not take", c.returned);
        metrics.count("opened", "New flows offered to the upstream", c.opened);
        metrics.count("queued", "New flows that waited for a slot", c.queued);
        metrics.count("queue_refused", "New flows reset after waiting", c.queueRefused);
        metrics.count("handed_on", "New flows handed on to another agent", c.handedOn);
        metrics.count("passed_on", "Packets of flows owned elsewhere", c.passedOn);
        metrics.count("reset_unclaimed", "Flows reset: no upstream holds them", c.resetUnclaimed);
        metrics.count("reset_refused", "New flows reset: nobody takes them", c.resetRefused);
        metrics.count("reset_crashed", "Flows reset: their upstream has crashed", c.resetCrashed);
        metrics.count("silent", "Packets dropped without an answer", c.silent);
        metrics.count("upstream_silences", "Times that the upstream stopped answering",
                      c.upstreamSilences);
        metrics.count("broken_off", "Requests that the upstream ended without an answer",
                      c.brokenOff);
        metrics.gauge("flows", "Flows held",
                      [this] { return static_cast<double>(m_steering->flowCount()); });
        metrics.gauge("running", "Requests that wait for the upstream",
                      [this] { return m_steering->load(Clock::now()).running; });
    }

    AgentDaemonSettings m_settings;
    std::string m_path;
    PlatformAdapter m_adapter;
    Process m_process;
    std::unique_ptr<SteeringRuntime> m_runtime;
    std::unique_ptr<UdpSocket> m_fromUpstream;
    std::optional<AgentSteering> m_steering;
    bool m_stopping = false;
};

} // namespace

ExitCode runSteeringAgent(AgentDaemonSettings settings, const std::string &path,
                          const PlatformAdapter &adapter)
{
    SteeringAgentDaemon daemon(std::move(settings), path, adapter);
    return daemon.run();
}

} // namespace bergamotglade
