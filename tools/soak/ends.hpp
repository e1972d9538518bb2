/// @file
/// Callers and upstreams of the soak test: both ends of the connections, which check the guarantees
/// that they can observe.
#pragma once

#include "machine.hpp"

#include <bergamotglade/detail/core/random.hpp>
#include <bergamotglade/detail/net/http.hpp>
#include <bergamotglade/detail/net/udp_socket.hpp>

#include <packets.hpp>

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace bergamotglade::soak {

/// Called once for each observed violation of a guarantee.
using ViolationHandler = std::function<void(const std::string &description)>;

/// Simulated upstream: answers requests after a service time and returns packets of flows that it
/// does not hold.
class SoakUpstream
{
public:
    SoakUpstream(boost::asio::io_context &io, const Machine &machine, std::string service,
                 const Ports &ports, ViolationHandler reportViolation);

    Result<void> open();
    void onTick(Instant now);
    /// @brief Drops all flows, as a crash does, and takes a new id.
    void restart();
    /// @brief Value of its entry in the store.
    [[nodiscard]] std::string storeEntry() const;
    [[nodiscard]] const std::string &id() const noexcept { return m_id; }
    [[nodiscard]] const std::string &domain() const noexcept { return m_domain; }
    /// @brief Whether the flow is open here, i.e. its handshake has been completed.
    [[nodiscard]] bool holds(const FlowKey &flow) const { return m_open.contains(flow); }
    /// @brief Flows that a caller opened after `limit` are reported as violations; std::nullopt
    /// allows them again.
    void forbidNewFlowsSince(std::optional<Instant> limit) { m_noNewFlowsSince = limit; }

    bool down = false; ///< ignores packets
    bool draining = false; ///< announced in its store entry; closes each flow with the next answer
    std::uint64_t openedFlows = 0;

private:
    struct PendingAnswer
    {
        Instant due;
        FlowKey flow;
        std::string answer;
        std::uint32_t acknowledgement = 0;
    };

    void onPacket(const Endpoint &from, std::string_view bytes);
    void send(const PacketBytes &bytes);
    /// @brief Listens for health checks while the upstream is up.
    void updateHealthServer();

    boost::asio::io_context &m_io;
    Endpoint m_local;
    Endpoint m_agent;
    std::string m_service;
    std::string m_domain;
    ViolationHandler m_reportViolation;
    std::unique_ptr<UdpSocket> m_socket;
    std::uint32_t m_incarnation = 0;
    std::string m_id;
    /// Derived from the id, so that an acknowledgement shows which upstream answered the handshake.
    std::uint32_t m_initialSequence = 0;
    std::set<FlowKey> m_flows; ///< including those whose handshake is not complete
    std::set<FlowKey> m_open;
    std::map<FlowKey, std::string> m_lastRequests; ///< last request of each flow
    std::map<FlowKey, PacketBytes> m_lastAnswers; ///< answers to them
    std::unique_ptr<HttpServer> m_healthServer;
    std::deque<PendingAnswer> m_pendingAnswers; ///< by due time
    std::optional<Instant> m_noNewFlowsSince;
};

/// Caller that sends requests on new and on open connections.
class SoakCaller
{
public:
    struct Counts
    {
        std::uint64_t requested = 0;
        std::uint64_t answered = 0;
        std::uint64_t failed = 0;
        std::uint64_t resets = 0;
    };
    /// Whether an upstream that is up holds a flow.
    using IsHeld = std::function<bool(const FlowKey &)>;
    /// Addresses of the balancers in rotation.
    using BalancersInRotation = std::function<std::vector<Endpoint>()>;

    SoakCaller(boost::asio::io_context &io, const Endpoint &local,
               BalancersInRotation balancersInRotation, IsHeld isHeld, Random random,
               ViolationHandler reportViolation);

    Result<void> open();
    /// @brief Sends one request, on a new connection or on an open one.
    void request(const Endpoint &service, Instant now);
    void onTick(Instant now);
    [[nodiscard]] const Counts &counts() const noexcept { return m_counts; }

private:
    struct Flow
    {
        FlowKey key;
        Instant requestedAt; ///< time of the last request
        Instant sentAt;
        std::uint32_t retransmissions = 0;
        bool open = false;
        bool closed = false; ///< the upstream has sent FIN
        bool awaitsAnswer = false;
        std::uint32_t upstreamSequence = 0;
        std::uint32_t sequence = 2; ///< sequence number of the last request
        std::uint32_t nextSequence = 2; ///< sequence number after the last request
        std::uint32_t requests = 0;
    };

    void onPacket(std::string_view bytes);
    void transmit(Flow &flow, Instant now);
    void finish(Flow &flow, bool answered);

    boost::asio::io_context &m_io;
    Endpoint m_local;
    BalancersInRotation m_balancersInRotation;
    IsHeld m_isHeld;
    Random m_random;
    ViolationHandler m_reportViolation;
    std::unique_ptr<UdpSocket> m_socket;
    std::map<std::uint16_t, Flow> m_flows; ///< by the caller's port
    std::uint16_t m_nextPort = 1024;
    Counts m_counts;
};

} // namespace bergamotglade::soak
