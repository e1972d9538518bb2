/// @file
/// UDP socket that passes each received datagram to a callback.
#pragma once

#include <bergamotglade/detail/core/endpoint.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace bergamotglade {

/// Receives until it is destroyed. Sends without blocking: a datagram that the kernel refuses is
/// dropped.
class UdpSocket
{
public:
    using OnDatagram = std::function<void(const Endpoint &from, std::string_view bytes)>;
    /// Fault injection: returns true if a datagram from or to the peer is to be dropped.
    using DropFilter = std::function<bool(const Endpoint &peer)>;

    /// @brief Binds a socket.
    /// @param local with port 0 the kernel chooses the port
    /// @param onDatagram called for each received datagram
    /// @return the socket, or ErrorCode::Io
    static Result<std::unique_ptr<UdpSocket>> open(boost::asio::io_context &io,
                                                   const Endpoint &local, OnDatagram onDatagram);
    ~UdpSocket();

    /// @brief Sends one datagram.
    /// @return false if the kernel refused the datagram; true also if the drop filter discarded it
    bool send(const Endpoint &to, std::string_view bytes);
    void setDropFilter(DropFilter filter);
    /// @brief Address that the socket is bound to.
    [[nodiscard]] Endpoint local() const;

private:
    struct State;
    explicit UdpSocket(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace bergamotglade
