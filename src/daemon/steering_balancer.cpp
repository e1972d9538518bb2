#include "steering_runtime.hpp"

#include <bergamotglade/detail/daemon/log.hpp>
#include <bergamotglade/detail/membership/balancer_group.hpp>
#include <bergamotglade/detail/steering/balancer_steering.hpp>

#include <nlohmann/json.hpp>

#include <optional>

namespace bergamotglade {

namespace {

/// A stopping balancer forwards for this long: the fabric asks twice a second and takes two misses
/// as the end, and packets are under way for some milliseconds more.
constexpr Millis StopLinger {1800};

class SteeringBalancerDaemon
{
public:
    SteeringBalancerDaemon(BalancerSettings settings, std::string path,
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
            updateGroup(now);
            m_runtime->onTick(now);
            m_steering->onTick(now);
        };
        hooks.onStop = [this](Instant now) {
            m_stopping = true;
            m_doneAt = now + StopLinger;
        };
        hooks.isDone = [this] {
            return Clock::now() >= m_doneAt;
        };
        hooks.onReload = [this] {
            m_process.reload(loadBalancerSettings(m_path));
        };
        m_process.setHooks(std::move(hooks));
        return m_process.run();
    }

private:
    Result<void> start()
    {
        SteeringRuntimeHooks hooks;
        hooks.onPacket = [this](const Endpoint & /*from*/, std::string_view bytes) {
            if (const auto segment = m_runtime->read(m_adapter.packets.fromCaller, bytes)) {
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
        auto runtime = SteeringRuntime::open(m_process.io(), m_settings.common,
                                             *m_settings.steering, m_adapter, std::move(hooks));
        if (!runtime) {
            return runtime.error();
        }
        m_runtime = std::move(runtime.value());
        startGroup();
        BalancerSteeringHooks out;
        out.forward = [this](const Endpoint &agent, const PacketBytes &bytes) {
            m_runtime->sendPacket(agent, bytes);
        };
        out.reset = [this](const Endpoint &caller, const PacketBytes &bytes) {
            m_runtime->sendToCaller(caller, bytes);
        };
        out.mayAct = [this](Instant now) {
            return m_runtime->mayAct(now);
        };
        out.log = m_runtime->log();
        m_steering.emplace(BalancerSteeringSettings {}, m_runtime->directory(), m_adapter.packets,
                           std::move(out), systemRandom());
        addMetrics();
        logEvent("started",
                 {{"packets", m_settings.steering->packets.str()},
                  {"control", m_runtime->plane().local().str()}});
        return boost::outcome_v2::success();
    }

    void startGroup()
    {
        const DisseminationSettings &own = m_runtime->plane().dissemination().settings();
        BalancerGroupSettings settings;
        settings.self = own.self;
        settings.domain = own.domain;
        settings.seeds = own.seeds;
        BalancerGroupHooks hooks;
        hooks.send = [this](const Endpoint &balancer, const BalancerHeartbeat &heartbeat) {
            m_runtime->plane().sendControl(balancer, encode(heartbeat));
        };
        m_group.emplace(std::move(settings), std::move(hooks), systemRandom());
    }

    void updateGroup(Instant now)
    {
        const bool was = m_group->shouldStepDown();
        m_group->onTick(isAble(now), now);
        if (m_group->shouldStepDown() != was) {
            logEvent(was ? "back in rotation" : "out of rotation",
                     {{"reason",
                       std::string(was ? "half of the failure domain's balancers serve"
                                       : "most of the failure domain's balancers are down")},
                      {"balancers", static_cast<std::uint64_t>(m_group->neighbourCount())},
                      {"able", static_cast<std::uint64_t>(m_group->ableCount(now))}});
        }
    }

    [[nodiscard]] bool isAble(Instant now) const
    {
        // A balancer that is cut off would swallow its callers' packets.
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
        const BalancerSteeringCounters &c = m_steering->counters();
        metrics.count("forwarded", "Packets sent to the agent of their flow", c.forwarded);
        metrics.count("placed", "New flows offered to an agent", c.placed);
        metrics.count("reoffered", "Offers without an answer, made to another agent", c.reoffered);
        metrics.count("searched", "Packets whose flow's owner had to be searched", c.searched);
        metrics.count("reset_no_route", "Flows reset: no route", c.resetNoRoute);
        metrics.count("reset_no_upstream", "Flows reset: no upstream takes them",
                      c.resetNoUpstream);
        metrics.count("held", "Opening packets kept until routes and upstreams are known", c.held);
        metrics.count("silent", "Packets dropped without an answer", c.silent);
        metrics.gauge("able_balancers", "Balancers of the failure domain that could serve",
                      [this] { return static_cast<double>(m_group->ableCount(Clock::now())); });
        metrics.gauge("flows", "Flows remembered",
                      [this] { return static_cast<double>(m_steering->flowCount()); });
    }

    BalancerSettings m_settings;
    std::string m_path;
    PlatformAdapter m_adapter;
    Process m_process;
    std::unique_ptr<SteeringRuntime> m_runtime;
    std::optional<BalancerSteering> m_steering;
    std::optional<BalancerGroup> m_group;
    bool m_stopping = false;
    Instant m_doneAt;
};

} // namespace

ExitCode runSteeringBalancer(BalancerSettings settings, const std::string &path,
                             const PlatformAdapter &adapter)
{
    SteeringBalancerDaemon daemon(std::move(settings), path, adapter);
    return daemon.run();
}

} // namespace bergamotglade
