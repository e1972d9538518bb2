#include "steering_runtime.hpp"

#include <bergamotglade/detail/daemon/log.hpp>
#include <bergamotglade/detail/membership/balancer_group.hpp>
#include <bergamotglade/detail/steering/balancer_steering.hpp>

#include <nlohmann/json.hpp>

#include <optional>

namespace bergamotglade {

namespace {

/// Time that a stopping balancer keeps forwarding. The fabric probes readiness twice a second and
/// takes a balancer out after two failed probes; packets in flight arrive some milliseconds later.
constexpr Millis StopLinger {1800};

class SteeringBalancerDaemon
{
public:
    SteeringBalancerDaemon(BalancerSettings settings, std::string settingsPath,
                           const PlatformAdapter &adapter)
        : m_settings(std::move(settings))
        , m_settingsPath(std::move(settingsPath))
        , m_adapter(adapter)
        , m_process(m_settingsPath, m_settings.common.stopTimeout, SteeringTickInterval)
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
            updateGroup(now);
            m_runtime->onTick(now);
            m_steering->onTick(now);
        };
        hooks.onStop = [this](Instant now) {
            m_stopping = true;
            m_lingerUntil = now + StopLinger;
        };
        hooks.isStopComplete = [this] {
            return Clock::now() >= m_lingerUntil;
        };
        hooks.onReload = [this] {
            reload();
        };
        m_process.setHooks(std::move(hooks));
        return m_process.run();
    }

private:
    void reload()
    {
        const auto checked = loadBalancerSettings(m_settingsPath, *m_settings.steering);
        m_process.reload(checked);
        if (!checked.value || !checked.value->steering) {
            return;
        }
        const double linkMbps = checked.value->steering->linkMbps;
        if (linkMbps != m_settings.steering->linkMbps) {
            logEvent("link rate changed", {{"link_mbps", linkMbps}});
        }
        // A restart of the role uses both figures as well.
        m_settings.steering->linkMbps = linkMbps;
        m_settings.steering->flowMax = checked.value->steering->flowMax;
        if (m_steering) {
            m_steering->setLinkRate(linkMbps, Clock::now());
            m_runtime->setFlowLifetimeMax(m_settings.steering->flowMax, Clock::now());
        }
    }

    Result<void> start()
    {
        SteeringRuntimeHooks hooks;
        hooks.onPacket = [this](const Endpoint & /*from*/, std::string_view bytes) {
            if (const auto segment = m_runtime->decodePacket(m_adapter.codec.fromCaller, bytes)) {
                m_steering->onPacket(*segment, PacketBytes(bytes), Clock::now());
            }
        };
        hooks.onLoadReport = [this](const LoadReport &report) {
            m_steering->onLoadReport(report, Clock::now());
        };
        hooks.onFlowLocated = [this](const FlowLocated &located) {
            m_steering->onFlowLocated(located, Clock::now());
        };
        hooks.onHeartbeat = [this](const BalancerHeartbeat &heartbeat) {
            m_group->onHeartbeat(heartbeat, Clock::now());
        };
        hooks.isReady = [this] {
            return isAble(Clock::now()) && !m_group->shouldStepDown();
        };
        hooks.addStatus = [](nlohmann::json &status) {
            status["role"] = "balancer";
        };
        hooks.explain = [this](const FlowKey &flow) {
            return m_steering->explain(flow, Clock::now());
        };
        hooks.onViewChange = [this](Instant now) {
            m_steering->onViewChange(now);
        };
        auto runtime = SteeringRuntime::open(m_process.io(), m_settings.common,
                                             *m_settings.steering, m_adapter, std::move(hooks));
        if (!runtime) {
            return runtime.error();
        }
        m_runtime = std::move(runtime.value());
        startGroup();
        BalancerSteeringHooks steeringHooks;
        steeringHooks.sendToAgent = [this](const Endpoint &agent, const PacketBytes &bytes) {
            m_runtime->sendPacket(agent, bytes);
        };
        steeringHooks.sendReset = [this](const Endpoint &caller, const PacketBytes &bytes) {
            m_runtime->sendToCaller(caller, bytes);
        };
        steeringHooks.mayAct = [this](Instant now) {
            return m_runtime->mayAct(now);
        };
        steeringHooks.requestConfirmation = [this](Instant now) {
            m_runtime->requestConfirmation(now);
        };
        steeringHooks.isConfirmedSince = [this](Instant since, Instant now) {
            return m_runtime->isConfirmedSince(since, now);
        };
        steeringHooks.log = m_runtime->log();
        BalancerSteeringSettings steeringSettings;
        steeringSettings.link.mbps = m_settings.steering->linkMbps;
        m_steering.emplace(steeringSettings, m_runtime->directory(), m_adapter.codec,
                           std::move(steeringHooks), systemRandom());
        addMetrics();
        logEvent("started",
                 {{"packets", m_settings.steering->packets.str()},
                  {"control", m_runtime->plane().local().str()}});
        return boost::outcome_v2::success();
    }

    void startGroup()
    {
        const DisseminationSettings &dissemination = m_runtime->plane().dissemination().settings();
        BalancerGroupSettings settings;
        settings.self = dissemination.self;
        settings.domain = dissemination.domain;
        settings.seeds = dissemination.seeds;
        BalancerGroupHooks hooks;
        hooks.send = [this](const Endpoint &balancer, const BalancerHeartbeat &heartbeat) {
            m_runtime->plane().sendControl(balancer, encode(heartbeat));
        };
        m_group.emplace(std::move(settings), std::move(hooks), systemRandom());
    }

    void updateGroup(Instant now)
    {
        const bool wasSteppedDown = m_group->shouldStepDown();
        m_group->onTick(isAble(now), now);
        if (m_group->shouldStepDown() != wasSteppedDown) {
            logEvent(
                wasSteppedDown ? "back in rotation" : "out of rotation",
                {{"reason",
                  std::string(
                      wasSteppedDown
                          ? "half or more of the balancers of the failure domain are able to "
                            "serve, no other failure domain can take over, or this balancer "
                            "cannot serve"
                          : "fewer than half of the balancers of the failure domain are able to "
                            "serve, and another failure domain can take over")},
                 {"balancers", static_cast<std::uint64_t>(m_group->neighbourCount())},
                 {"able", static_cast<std::uint64_t>(m_group->ableCount(now))}});
        }
    }

    [[nodiscard]] bool isAble(Instant now) const
    {
        // The packets that an isolated balancer receives from callers would be lost.
        return !m_stopping && m_runtime->isConfirmed(now)
            && m_runtime->plane().dissemination().isConnected(now);
    }

    void stop()
    {
        logEvent("stopped");
        m_steering.reset();
        m_group.reset();
        m_runtime.reset();
    }

    void addMetrics()
    {
        Metrics &metrics = m_runtime->plane().metrics();
        const BalancerSteeringCounters &counters = m_steering->counters();
        metrics.addCounterRef("forwarded", "Packets sent to the agent of their flow",
                              counters.packetsForwarded);
        metrics.addCounterRef("placed", "New flows offered to an agent", counters.flowsOffered);
        metrics.addCounterRef("reoffered", "Offers without an answer, made to another agent",
                              counters.flowsReoffered);
        metrics.addCounterRef("searched", "Packets whose flow's owner had to be searched",
                              counters.packetsSearched);
        metrics.addCounterRef("reset_no_route", "Flows reset: no route",
                              counters.resetsWithoutRoute);
        metrics.addCounterRef("reset_no_upstream", "Flows reset: no upstream takes them",
                              counters.resetsWithoutUpstream);
        metrics.addCounterRef("held", "Opening packets kept until routes and upstreams are known",
                              counters.openingsHeld);
        metrics.addCounterRef("silent", "Packets dropped without an answer",
                              counters.packetsDropped);
        metrics.addCounterRef("openings_held_for_link",
                              "Opening packets of bulk flows that waited for the outgoing link",
                              counters.openingsHeldForLink);
        metrics.addCounterRef("openings_refused_for_link",
                              "Bulk flows reset: the outgoing link is full",
                              counters.openingsRefusedForLink);
        metrics.addCounterRef("repeats_dropped",
                              "Repeated data packets dropped: the first copy is in the link",
                              counters.repeatsDropped);
        m_runtime->addUnroutedMetrics(m_steering->unroutedFlows().counters());
        metrics.addGauge("link_delay_ms", "Modelled delay of the outgoing link",
                         [this] { return m_steering->link().delayMs(Clock::now()); });
        metrics.addGauge("transfers", "Flows in transfer", [this] {
            return static_cast<double>(m_steering->link().transferCount());
        });
        metrics.addGauge("able_balancers", "Balancers of the failure domain that could serve",
                         [this] { return static_cast<double>(m_group->ableCount(Clock::now())); });
        metrics.addGauge("flows", "Flows remembered",
                         [this] { return static_cast<double>(m_steering->flowCount()); });
    }

    BalancerSettings m_settings;
    std::string m_settingsPath;
    PlatformAdapter m_adapter;
    Process m_process;
    std::unique_ptr<SteeringRuntime> m_runtime;
    std::optional<BalancerSteering> m_steering;
    std::optional<BalancerGroup> m_group;
    bool m_stopping = false;
    Instant m_lingerUntil;
};

} // namespace

ExitCode runSteeringBalancer(BalancerSettings settings, const std::string &settingsPath,
                             const PlatformAdapter &adapter)
{
    SteeringBalancerDaemon daemon(std::move(settings), settingsPath, adapter);
    return daemon.run();
}

} // namespace bergamotglade
