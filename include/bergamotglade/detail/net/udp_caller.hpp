/// @file
/// Caller over UDP: one flow to one service, through a fabric that distributes datagrams over the
/// balancers at random.
#pragma once

#include <bergamotglade/detail/caller/caller_node.hpp>

#include <memory>

namespace boost::asio {
class io_context;
}

namespace bergamotglade {

/// Destination of the datagrams of a caller.
struct CallerRoute
{
    ServiceName service;
    Endpoint address; ///< address of the service
    std::vector<Endpoint> balancers; ///< each datagram goes to a random one of them
};

/// Emulation of the fabric: calls `send` once for each copy of a datagram that is to be delivered.
/// Without an emulation each datagram is sent once.
using FabricEmulation =
    std::function<void(std::string bytes, const std::function<void(std::string)> &send)>;

/// Caller with a UDP socket of its own. Not thread-safe: must be used from the thread that runs the
/// event loop.
class UdpCaller
{
public:
    /// @brief Binds a socket with a port that the kernel chooses.
    /// @return the caller; ErrorCode::Io, or ErrorCode::BadAddress if the route names no balancer
    static Result<std::unique_ptr<UdpCaller>> open(boost::asio::io_context &io, CallerRoute route,
                                                   Random random, FabricEmulation fabric = nullptr);
    ~UdpCaller();

    /// @brief Starts a call; `done` is called exactly once.
    void submit(Call call, Completion done);
    /// @brief Number of calls that are not completed.
    [[nodiscard]] std::size_t openCalls() const;
    [[nodiscard]] const CallerCounters &counters() const;
    /// @brief Token of the agent that owns the flow, if known.
    [[nodiscard]] const std::optional<OwnerToken> &owner() const;

private:
    struct State;
    explicit UdpCaller(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace bergamotglade
