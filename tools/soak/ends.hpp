/// @file
/// Callers and upstreams of the soak: both ends of connections, and the promises they can see.
#pragma once

#include "machine.hpp"

#include <bergamotglade/detail/core/random.hpp>
#include <bergamotglade/detail/net/udp_socket.hpp>

#include <packets.hpp>

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace bergamotglade::soak {

/// Told once for each promise that does not hold.
using Breach = std::function<void(const std::string &what)>;

/// A stand-in upstream: answers requests after their work, returns what it does not hold.
class SoakUpstream
{
public:
    SoakUpstream(boost::asio::io_context &io, const Machine &machine, std::string service,
                 const Ports &ports, Breach breach);

    Result<void> open();
    void onTick(Instant now);
    /// @brief Forgets all flows, as a crash does, and gets a new id.
    void restart();
    /// @brief The entry in the store.
    [[nodiscard]] std::string entry() const;
    [[nodiscard]] const std::string &id() const noexcept { return m_id; }
    [[nodiscard]] const std::string &domain() const noexcept { return m_domain; }
    /// @brief Whether the flow is open here: the end of its handshake has come.
    [[nodiscard]] bool holds(const FlowKey &flow) const { return m_open.contains(flow); }
    /// @brief From then on a new flow that its caller opened later is a breach.
    void refuseFrom(std::optional<Instant> limit) { m_refuseFrom = limit; }

    bool dead = false;
    bool draining = false;
    std::uint64_t opened = 0;

private:
    struct Work
    {
        Instant at;
        FlowKey flow;
        std::string answer;
    };

    void onPacket(const Endpoint &from, std::string_view bytes);
    void send(const PacketBytes &bytes);

    boost::asio::io_context &m_io;
    Endpoint m_local;
    Endpoint m_agent;
    std::string m_service;
    std::string m_domain;
    Breach m_breach;
    std::unique_ptr<UdpSocket> m_socket;
    std::uint32_t m_life = 0;
    std::string m_id;
    std::uint32_t m_startSequence = 0;
    std::set<FlowKey> m_flows;
    std::set<FlowKey> m_open;
    std::map<FlowKey, std::string> m_answered; ///< last request of each flow
    std::deque<Work> m_work;
    std::optional<Instant> m_refuseFrom;
};

/// A caller that sends requests on fresh and on kept connections.
class SoakCaller
{
public:
    struct Counts
    {
        std::uint64_t asked = 0;
        std::uint64_t answered = 0;
        std::uint64_t failed = 0;
        std::uint64_t resets = 0;
    };
    /// Whether some living upstream holds a flow.
    using IsHeld = std::function<bool(const FlowKey &)>;
    /// Addresses of the balancers in rotation.
    using Rotation = std::function<std::vector<Endpoint>()>;

    SoakCaller(boost::asio::io_context &io, const Endpoint &local, Rotation rotation, IsHeld isHeld,
               Random random, Breach breach);

    Result<void> open();
    /// @brief Sends one request, on a new connection or on one that is open.
    void request(const Endpoint &service, Instant now);
    void onTick(Instant now);
    [[nodiscard]] const Counts &counts() const noexcept { return m_counts; }

private:
    struct Flow
    {
        FlowKey key;
        Instant startedAt;
        Instant sentAt;
        std::uint32_t copies = 0;
        bool open = false;
        bool closed = false; ///< the upstream has finished
        bool waits = false; ///< for an answer
        std::uint32_t upstreamSequence = 0;
        std::uint32_t requests = 0;
    };

    void onPacket(std::string_view bytes);
    void transmit(Flow &flow, Instant now);
    void finish(Flow &flow, bool answered);

    boost::asio::io_context &m_io;
    Endpoint m_local;
    Rotation m_rotation;
    IsHeld m_isHeld;
    Random m_random;
    Breach m_breach;
    std::unique_ptr<UdpSocket> m_socket;
    std::map<std::uint16_t, Flow> m_flows; ///< by the caller's port
    std::uint16_t m_nextPort = 1024;
    Counts m_counts;
};

} // namespace bergamotglade::soak
