/// @file
/// The part that steering balancers and agents share: directory, control plane, packet socket and
/// readiness server.
#pragma once

#include "process.hpp"

#include <bergamotglade/detail/daemon/control_plane.hpp>
#include <bergamotglade/detail/steering/directory.hpp>
#include <bergamotglade/detail/steering/flow_explanation.hpp>
#include <bergamotglade/detail/steering/steering_event.hpp>
#include <bergamotglade/detail/steering/unrouted_flows.hpp>

#include <optional>

namespace bergamotglade {

/// Callbacks of a steering role.
struct SteeringRuntimeHooks
{
    std::function<void(const Endpoint &from, std::string_view bytes)> onPacket;
    std::function<void(const LoadReport &)> onLoadReport;
    std::function<void(const FlowLocated &)> onFlowLocated;
    /// @name Set by agents only
    /// @{
    std::function<void(const FlowQuery &)> onFlowQuery;
    std::function<void(const FlowAnswer &)> onFlowAnswer;
    std::function<void(const FlowLocations &)> onFlowLocations;
    std::function<void(const OwnersQuery &)> onOwnersQuery;
    std::function<void(const OwnersList &)> onOwnersList;
    /// @}
    /// Set by balancers only.
    std::function<void(const BalancerHeartbeat &)> onHeartbeat;
    std::function<void(nlohmann::json &)> addStatus;
    /// Describes the state of one flow for operators.
    std::function<FlowExplanation(const FlowKey &)> explain;
    /// Whether the process accepts packets.
    std::function<bool()> isReady;
    /// Called after a change or a confirmation of the directory.
    std::function<void(Instant)> onViewChange;
};

/// Owns the sockets and the directory of one steering process.
class SteeringRuntime
{
public:
    static Result<std::unique_ptr<SteeringRuntime>> open(boost::asio::io_context &io,
                                                         const CommonSettings &common,
                                                         const SteeringDaemonSettings &steering,
                                                         const PlatformAdapter &adapter,
                                                         SteeringRuntimeHooks hooks);

    void onTick(Instant now);

    [[nodiscard]] Directory &directory() noexcept { return m_directory; }
    [[nodiscard]] ControlPlane &plane() noexcept { return *m_plane; }
    /// @brief Whether the process may act on its view of the fleet.
    [[nodiscard]] bool mayAct(Instant now) { return m_plane->dissemination().mayAct(now); }
    /// @brief Asks the platform and other processes for news, see Dissemination.
    void requestConfirmation(Instant now) { m_plane->dissemination().requestConfirmation(now); }
    /// @brief Whether the directory contains all that the platform had acknowledged at `since`.
    [[nodiscard]] bool isConfirmedSince(Instant since, Instant now) const
    {
        return m_plane->dissemination().isConfirmedSince(since, now);
    }
    /// @brief Applies a changed maximum lifetime of a flow.
    void setFlowLifetimeMax(Millis lifetime, Instant now);
    void addUnroutedMetrics(const UnroutedFlowsCounters &counters);
    void sendPacket(const Endpoint &to, std::string_view bytes);
    /// @brief Sends a packet to the address of a caller. The port is the packet port of this
    /// process, since callers receive packets at the same port number.
    void sendToCaller(const Endpoint &caller, std::string_view bytes);
    /// @brief Sends an encoded message to the control address of a process.
    void sendControl(const Endpoint &process, std::string_view message);
    [[nodiscard]] SteeringLog log() const;
    /// @brief Whether routes are known and the configuration is confirmed.
    [[nodiscard]] bool isConfirmed(Instant now) const;
    /// @brief Decodes a packet. Invalid packets are counted and logged at a limited rate.
    /// @return the segment, or nothing if the packet is invalid
    std::optional<Segment>
    decodePacket(const std::function<Result<Segment>(std::string_view)> &decode,
                 std::string_view bytes);

private:
    SteeringRuntime(const CommonSettings &common, const SteeringDaemonSettings &steering,
                    SteeringRuntimeHooks hooks);
    Result<void> start(boost::asio::io_context &io, const PlatformAdapter &adapter);
    ControlPlaneHooks controlHooks();
    void countBadPacket(const Error &error);
    void onLoadReport(const LoadReport &report);
    void onDirectoryChange();
    /// @brief Control endpoint of a process, given its packet endpoint: all steering processes use
    /// the same control port.
    [[nodiscard]] Endpoint controlEndpoint(const Endpoint &agent) const;
    void serveReady(const HttpResponder &respond);
    void serveFlow(const HttpRequest &request, const HttpResponder &respond);

    CommonSettings m_common;
    SteeringDaemonSettings m_steering;
    SteeringRuntimeHooks m_hooks;
    Directory m_directory;
    std::unique_ptr<HttpClient> m_storeClient;
    ConfigurationSource m_configurationSource;
    std::unique_ptr<ControlPlane> m_plane;
    std::unique_ptr<UdpSocket> m_packetSocket;
    std::unique_ptr<HttpServer> m_readyServer;
    bool m_wasReady = false;
    std::uint64_t m_loggedVersion = 0;
    std::uint64_t m_badPackets = 0;
    Instant m_badPacketLoggedAt;
};

/// @name Entry points of the steering roles
/// @{

ExitCode runSteeringBalancer(BalancerSettings settings, const std::string &settingsPath,
                             const PlatformAdapter &adapter);
ExitCode runSteeringAgent(AgentDaemonSettings settings, const std::string &settingsPath,
                          const PlatformAdapter &adapter);

/// @}

} // namespace bergamotglade
