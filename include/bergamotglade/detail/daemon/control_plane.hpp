/// @file
/// What both daemons share: sockets, the control server, the platform's client, dissemination.
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

struct NetCounters
{
    std::uint64_t badDatagrams = 0;
    std::uint64_t badControl = 0;
    std::uint64_t controlBytesSent = 0;
    std::uint64_t controlBytesReceived = 0;
    std::uint64_t sendFailures = 0;
};

struct ControlPlaneHooks
{
    /// A datagram other than a Notice.
    std::function<void(const Endpoint &from, Datagram &&)> onDatagram;
    /// A control request that the control plane does not know; false answers 404.
    std::function<bool(const HttpRequest &, const HttpResponder &)> onRequest;
    /// Adds the daemon's own part to its status.
    std::function<void(nlohmann::json &)> addStatus;
    std::function<void()> onChange;
    /// Reads the configuration through an adapter; none speaks the product's own interface.
    ConfigurationSource source;
    /// Reads sections of another form of document; none for the YAML form.
    SectionTaker takeSection;
    /// Where agents listen for control; none for those that the YAML document names.
    std::function<std::vector<Endpoint>()> agents;
    /// Changes the pace of dissemination before it starts.
    std::function<void(DisseminationSettings &)> tune;
};

/// Owns the sockets and feeds Dissemination.
class ControlPlane
{
public:
    /// @brief Binds UDP and TCP on one port.
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

    /// @brief Sends a packet of a flow.
    void sendData(const Endpoint &to, std::string_view bytes);
    /// @brief Sends a control datagram, counted against the control budget.
    void sendControl(const Endpoint &to, std::string_view bytes);
    /// @brief Sends a control message over HTTP.
    void post(const Endpoint &to, std::string target, std::string body,
              std::function<void(bool ok)> done);

private:
    ControlPlane(boost::asio::io_context &io, const CommonSettings &settings,
                 ControlPlaneHooks hooks);

    Result<void> bind();
    void makeDissemination(Random random);
    void addMetrics();
    void logFindings();
    void onBytes(const Endpoint &from, std::string_view bytes);
    void onRequest(const HttpRequest &request, const HttpResponder &respond);
    void serveChanges(const HttpRequest &request, const HttpResponder &respond);
    void serveFaults(const HttpRequest &request, const HttpResponder &respond);
    [[nodiscard]] std::string status();
    void fetchFromPeer(const Endpoint &peer, Revision since);
    void readPlatform(Revision since, bool watch);
    void onPlatform(Result<ChangeBatch> batch);
    void readVmList();
    [[nodiscard]] bool isCut(const Endpoint &peer) const { return m_cut.contains(peer); }

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
    bool m_platformUp = true;
    std::set<std::string> m_loggedFindings;
    std::set<Endpoint> m_cut; ///< fault injection: peers that cannot be reached
};

} // namespace bergamotglade
