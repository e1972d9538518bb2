/// @file
/// TCP proxy on loopback that injects faults into the connections that it relays.
#pragma once

#include <bergamotglade/detail/core/endpoint.hpp>
#include <bergamotglade/detail/core/error.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <vector>

namespace bergamotglade::soak {

/// How the proxy treats the data of its connections.
enum class ProxyMode : std::uint8_t {
    Pass,
    Delay, ///< each chunk is delayed
    Reset, ///< open connections are reset, and new ones as soon as they are accepted
    OneWay, ///< data to the server is forwarded, data to the client discarded
    Silent, ///< all data is discarded, connections stay open
};

/// Relays TCP connections to one target. A connection whose data was discarded forwards nothing
/// more, also after a change of mode, as its stream has a gap.
class Proxy
{
public:
    /// @return the proxy, or ErrorCode::Io if it cannot listen
    static Result<std::unique_ptr<Proxy>> open(boost::asio::io_context &io, const Endpoint &listen,
                                               const Endpoint &target);

    void setMode(ProxyMode mode);
    [[nodiscard]] ProxyMode mode() const noexcept { return m_mode; }

private:
    class Connection;

    Proxy(boost::asio::io_context &io, const Endpoint &target);
    void accept();

    boost::asio::io_context &m_io;
    Endpoint m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::weak_ptr<Connection>> m_connections;
    ProxyMode m_mode = ProxyMode::Pass;
};

} // namespace bergamotglade::soak
