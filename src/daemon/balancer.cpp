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

/// A balancer keeps serving this long after the platform learnt that it leaves.
constexpr Millis StopLinger {300};

class Balancer
{
public:
    Balancer(BalancerSettings settings, std::string path)
        : m_settings(std::move(settings))
        , m_path(std::move(path))
        , m_process(m_settings.common.stopTimeout)
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
        // A restart keeps the address that peers know.
        m_settings.common.listen = m_plane->local();
        BalancerHooks out;
        out.forward = [this](const Endpoint &agent, const DataPacket &packet) {
            m_plane->sendData(agent, encode(packet));
        };
        m_node.emplace(m_plane->dissemination(), std::move(out),
                       m_settings.uniform ? uniformScore : rendezvousScore);
        addMetrics();
        m_plane->start(Clock::now());
        logState("balancer listens on " + m_plane->local().str());
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
        m_plane->metrics().count("forwarded", "Caller datagrams forwarded", counters.forwarded);
        m_plane->metrics().count("unknown_service", "Datagrams to an address of no service",
                                 counters.unknownService);
        m_plane->metrics().count("no_candidates", "Datagrams of a service without usable upstreams",
                                 counters.noCandidates);
        m_plane->metrics().count("oversized", "Datagrams larger than a request may be",
                                 counters.oversized);
        m_plane->metrics().count("not_ready", "Datagrams dropped without a confirmed view",
                                 counters.notReady);
        m_plane->metrics().count("around_suspect", "Datagrams sent past an agent believed dead",
                                 counters.aroundSuspect);
    }

    BalancerSettings m_settings;
    std::string m_path;
    Process m_process;
    std::unique_ptr<ControlPlane> m_plane;
    std::optional<BalancerNode> m_node;
    Instant m_doneAt;
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
    Balancer balancer(std::move(*checked.value), settingsPath);
    return balancer.run();
}

} // namespace bergamotglade
