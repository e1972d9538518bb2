/// @file
/// The part that both daemons share: sockets, control server, client of the platform,
/// dissemination.
#pragma once

#include <bergamotglade/detail/daemon/metrics.hpp>
#include <bergamotglade/detail/daemon/platform_adapter.hpp>
#include <bergamotglade/detail/daemon/settings.hpp>
#include <bergamotglade/detail/daemon/supervisor.hpp>
#include <bergamotglade/detail/net/datagram_codec.hpp>
#include <bergamotglade/detail/net/http.hpp>
#include <bergamotglade/detail/net/udp_socket.hpp>

#include <nlohmann/json_fwd.hpp>

#include <set>

namespace bergamotglade {

/// Counters of network traffic and of messages that could not be decoded.
struct NetCounters
{
    std::uint64_t badDatagrams = 0; ///< UDP messages that could not be decoded
    /// Replies and fault injection requests over HTTP that could not be decoded.
    std::uint64_t badControl = 0;
    std::uint64_t controlBytesSent = 0; ///< includes an estimate of the protocol headers
    std::uint64_t controlBytesReceived = 0; ///< includes an estimate of the protocol headers
    std::uint64_t sendFailures = 0; ///< datagrams that the kernel refused
};

/// Callbacks through which a daemon extends the control plane.
struct ControlPlaneHooks
{
    /// Called for each datagram other than a Notice.
    std::function<void(const Endpoint &from, Datagram &&)> onDatagram;
    /// Handles a control request that the control plane does not handle itself. If it returns
    /// false, the client gets status 404.
    std::function<bool(const HttpRequest &, const HttpResponder &)> onRequest;
    /// Adds the fields of the daemon to the status object.
    std::function<void(nlohmann::json &)> addStatus;
    /// Called after a change of the configuration in force.
    std::function<void()> onChange;
    /// Called after the platform has confirmed the configuration in force.
    std::function<void()> onConfirmed;
    /// Reads the configuration through a platform adapter; if empty, the control plane reads it
    /// itself, from `/v1/changes` of the platform.
    ConfigurationSource source;
    /// Applies sections of another document format; if empty, sections are YAML.
    SectionHandler applySection;
    /// See ContentOrder; if empty, contents have no order.
    std::function<bool(const SectionChange &offered, const std::string &inForce)> isOlderSection;
    /// Control endpoints of the agents; if empty, the agents named in the YAML document.
    std::function<std::vector<Endpoint>()> agents;
    /// Adjusts the settings of dissemination before it starts.
    std::function<void(DisseminationSettings &)> adjustSettings;
};

/// Owns the control sockets, passes received messages to Dissemination and serves control requests.
class ControlPlane
{
public:
    /// @brief Binds UDP and TCP to the same port.
    /// @return the control plane, or ErrorCode::Io
    static Result<std::unique_ptr<ControlPlane>> open(boost::asio::io_context &io,
                                                      const CommonSettings &settings,
                                                      ControlPlaneHooks hooks, Random random);

    void start(Instant now);
    void onTick(Instant now);

    [[nodiscard]] Dissemination &dissemination() noexcept { return *m_dissemination; }
    [[nodiscard]] HttpClient &client() noexcept { return m_client; }
    [[nodiscard]] Endpoint local() const noexcept { return m_local; }
    [[nodiscard]] Metrics &metrics() noexcept { return m_metrics; }

    /// @brief Sends a datagram that is not counted as control traffic.
    void sendData(const Endpoint &to, std::string_view bytes);
    /// @brief Sends a datagram and counts it as control traffic, for which the scenarios check a
    /// budget in bytes per second.
    void sendControl(const Endpoint &to, std::string_view bytes);
    /// @brief Sends a control message as an HTTP POST request.
    /// @param done called once; true if the peer answered with status 200
    void post(const Endpoint &to, std::string target, std::string body,
              std::function<void(bool ok)> done);

private:
    ControlPlane(boost::asio::io_context &io, const CommonSettings &settings,
                 ControlPlaneHooks hooks);

    Result<void> bind();
    void createDissemination(Random random);
    void addMetrics();
    void logFindings();
    void onReceived(const Endpoint &from, std::string_view bytes);
    void onRequest(const HttpRequest &request, const HttpResponder &respond);
    void serveChanges(const HttpRequest &request, const HttpResponder &respond);
    void serveFaults(const HttpRequest &request, const HttpResponder &respond);
    [[nodiscard]] std::string status();
    void fetchFromPeer(const Endpoint &peer, Revision since);
    void readPlatform(Revision since, bool watch);
    void confirmView(Revision since);
    void onPlatformReply(Result<ChangeBatch> batch);
    void readVmList();
    [[nodiscard]] bool isBlocked(const Endpoint &peer) const
    {
        return m_blockedPeers.contains(peer);
    }

    boost::asio::io_context &m_io;
    CommonSettings m_settings;
    ControlPlaneHooks m_hooks;
    HttpClient m_client;
    std::unique_ptr<UdpSocket> m_udp;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<Dissemination> m_dissemination;
    Metrics m_metrics;
    NetCounters m_counters;
    Endpoint m_local;
    bool m_platformReachable = true;
    std::set<std::string> m_loggedFindings;
    std::set<Endpoint> m_blockedPeers; ///< fault injection: peers treated as unreachable
};

} // namespace bergamotglade
