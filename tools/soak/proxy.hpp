/// @file
/// A loopback proxy that brings faults about on connections that pass through it.
#pragma once

#include <bergamotglade/detail/core/endpoint.hpp>
#include <bergamotglade/detail/core/error.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <vector>

namespace bergamotglade::soak {

/// What the proxy does to the bytes of its connections.
enum class ProxyMode : std::uint8_t {
    Pass,
    Delay, ///< each piece of bytes comes later
    Reset, ///< open connections are reset, new ones at once
    OneWay, ///< questions arrive, answers are lost
    Silent, ///< nothing passes, connections stay open
};

/// Carries TCP connections to one target. A connection that has lost bytes stays silent when the
/// mode changes back: its stream has a gap.
class Proxy
{
public:
    static Result<std::unique_ptr<Proxy>> open(boost::asio::io_context &io, const Endpoint &listen,
                                               const Endpoint &target);

    void setMode(ProxyMode mode);
    [[nodiscard]] ProxyMode mode() const noexcept { return m_mode; }

private:
    class Link;

    Proxy(boost::asio::io_context &io, const Endpoint &target);
    void accept();

    boost::asio::io_context &m_io;
    Endpoint m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::weak_ptr<Link>> m_links;
    ProxyMode m_mode = ProxyMode::Pass;
};

} // namespace bergamotglade::soak
