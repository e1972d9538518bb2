#include "process.hpp"
#include "steering_runtime.hpp"

#include <bergamotglade/detail/daemon/control_plane.hpp>
#include <bergamotglade/detail/daemon/log.hpp>
#include <bergamotglade/detail/node/balancer_node.hpp>

#include <nlohmann/json.hpp>

#include <iostream>
#include <optional>

namespace bergamotglade {

namespace {

/// Time from the stop signal for which a balancer keeps forwarding. The platform is expected to
/// mark it as leaving before the signal, so that only datagrams in flight still arrive.
constexpr Millis StopLinger {300};

class BalancerDaemon
{
public:
    BalancerDaemon(BalancerSettings settings, std::string settingsPath)
        : m_settings(std::move(settings))
        , m_settingsPath(std::move(settingsPath))
        , m_process(m_settingsPath, m_settings.common.stopTimeout)
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
            m_plane->onTick(now);
        };
        hooks.onStop = [this](Instant now) {
            m_lingerUntil = now + StopLinger;
        };
        hooks.isStopComplete = [this] {
            return Clock::now() >= m_lingerUntil;
        };
        hooks.onReload = [this] {
            m_process.reload(loadBalancerSettings(m_settingsPath));
        };
        m_process.setHooks(std::move(hooks));
        return m_process.run();
    }

private:
    Result<void> start()
    {
        ControlPlaneHooks hooks;
        hooks.onDatagram = [this](const Endpoint &from, Datagram &&datagram) {
            auto *frame = std::get_if<CallerFrame>(&datagram);
            if (frame != nullptr) {
                m_node->onCallerPacket(from, frame->service, std::move(frame->payload),
                                       Clock::now());
            }
        };
        hooks.addStatus = [](nlohmann::json &status) {
            status["role"] = "balancer";
        };
        auto plane =
            ControlPlane::open(m_process.io(), m_settings.common, std::move(hooks), systemRandom());
        if (!plane) {
            return plane.error();
        }
        m_plane = std::move(plane.value());
        // With listen port 0 the kernel chooses the port. A restart within the process binds the
        // same port again, since peers know this address.
        m_settings.common.listen = m_plane->local();
        BalancerHooks nodeHooks;
        nodeHooks.forward = [this](const Endpoint &agent, const DataPacket &packet) {
            m_plane->sendData(agent, encode(packet));
        };
        m_node.emplace(m_plane->dissemination(), std::move(nodeHooks),
                       m_settings.uniform ? uniformScore : rendezvousScore);
        addMetrics();
        m_plane->start(Clock::now());
        logInfo("balancer listens on " + m_plane->local().str());
        std::cout << "ready " << m_plane->local().str() << std::endl;
        return boost::outcome_v2::success();
    }

    void stop()
    {
        m_node.reset();
        m_plane.reset();
    }

    void addMetrics()
    {
        const BalancerCounters &counters = m_node->counters();
        m_plane->metrics().addCounterRef("forwarded", "Caller datagrams forwarded",
                                         counters.forwarded);
        m_plane->metrics().addCounterRef("unknown_service", "Datagrams to an address of no service",
                                         counters.unknownService);
        m_plane->metrics().addCounterRef("no_candidates",
                                         "Datagrams of a service without usable upstreams",
                                         counters.noCandidates);
        m_plane->metrics().addCounterRef("oversized", "Datagrams larger than a request may be",
                                         counters.oversized);
        m_plane->metrics().addCounterRef("not_ready", "Datagrams dropped without a confirmed view",
                                         counters.notReady);
        m_plane->metrics().addCounterRef(
            "around_suspect", "Datagrams sent past an agent believed dead", counters.aroundSuspect);
    }

    BalancerSettings m_settings;
    std::string m_settingsPath;
    Process m_process;
    std::unique_ptr<ControlPlane> m_plane;
    std::optional<BalancerNode> m_node;
    Instant m_lingerUntil;
};

} // namespace

ExitCode runBalancer(const std::string &settingsPath, const PlatformAdapter &adapter)
{
    auto checked = loadBalancerSettings(settingsPath);
    if (!reportFindings(checked.findings)) {
        return ExitCode::BadSettings;
    }
    setUpLog("glade-balancer/" + checked.value->common.vm.str(), checked.value->common.logLevel);
    if (checked.value->steering) {
        return runSteeringBalancer(std::move(*checked.value), settingsPath, adapter);
    }
    BalancerDaemon daemon(std::move(*checked.value), settingsPath);
    return daemon.run();
}

} // namespace bergamotglade
