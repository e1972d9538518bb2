#include "proxy.hpp"

#include <bergamotglade/detail/core/clock.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace bergamotglade::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr Millis DelayTime {150};
constexpr std::size_t PieceBytes = 16'384;

tcp::endpoint tcpOf(const Endpoint &endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

} // namespace

/// One connection: two sockets and a pump for each direction.
class Proxy::Link : public std::enable_shared_from_this<Proxy::Link>
{
public:
    Link(Proxy &proxy, tcp::socket client)
        : m_proxy(proxy)
        , m_client(std::move(client))
        , m_server(proxy.m_io)
    { }

    void start()
    {
        m_server.async_connect(
            tcpOf(m_proxy.m_target), [self = shared_from_this()](const error_code &error) {
                if (error) {
                    self->close();
                    return;
                }
                self->pump(self->m_client, self->m_server, self->m_toServer, false);
                self->pump(self->m_server, self->m_client, self->m_toClient, true);
            });
    }

    void reset()
    {
        error_code ignored;
        m_client.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

private:
    using Piece = std::array<char, PieceBytes>;

    void close()
    {
        error_code ignored;
        m_client.close(ignored);
        m_server.close(ignored);
    }

    void pump(tcp::socket &from, tcp::socket &to, Piece &piece, bool answers)
    {
        from.async_read_some(
            asio::buffer(piece),
            [this, self = shared_from_this(), &from, &to, &piece, answers](const error_code &error,
                                                                           std::size_t bytes) {
                if (error) {
                    close();
                    return;
                }
                const ProxyMode mode = m_proxy.m_mode;
                m_broken |= mode == ProxyMode::Silent || (mode == ProxyMode::OneWay && answers);
                if (m_broken) {
                    pump(from, to, piece, answers);
                    return;
                }
                const Millis delay = mode == ProxyMode::Delay ? DelayTime : Millis();
                forward(from, to, piece, bytes, delay, answers);
            });
    }

    void forward(tcp::socket &from, tcp::socket &to, Piece &piece, std::size_t bytes, Millis delay,
                 bool answers)
    {
        const auto timer = std::make_shared<asio::steady_timer>(m_proxy.m_io, delay);
        timer->async_wait([this, self = shared_from_this(), timer, &from, &to, &piece, bytes,
                           answers](const error_code & /*error*/) {
            asio::async_write(to, asio::buffer(piece, bytes),
                              [this, self, &from, &to, &piece, answers](const error_code &error,
                                                                        std::size_t /*bytes*/) {
                                  if (error) {
                                      close();
                                  } else {
                                      pump(from, to, piece, answers);
                                  }
                              });
        });
    }

    Proxy &m_proxy;
    tcp::socket m_client;
    tcp::socket m_server;
    Piece m_toServer {};
    Piece m_toClient {};
    bool m_broken = false;
};

Proxy::Proxy(asio::io_context &io, const Endpoint &target)
    : m_io(io)
    , m_target(target)
    , m_acceptor(io)
{ }

Result<std::unique_ptr<Proxy>> Proxy::open(asio::io_context &io, const Endpoint &listen,
                                           const Endpoint &target)
{
    std::unique_ptr<Proxy> proxy(new Proxy(io, target));
    error_code error;
    proxy->m_acceptor.open(tcp::v4(), error);
    if (!error) {
        proxy->m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        proxy->m_acceptor.bind(tcpOf(listen), error);
    }
    if (!error) {
        proxy->m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return Error {ErrorCode::Io, "proxy at " + listen.str() + ": " + error.message()};
    }
    proxy->accept();
    return proxy;
}

void Proxy::accept()
{
    m_acceptor.async_accept([this](const error_code &error, tcp::socket client) {
        if (error) {
            return;
        }
        std::erase_if(m_links, [](const auto &link) { return link.expired(); });
        const auto link = std::make_shared<Link>(*this, std::move(client));
        m_links.push_back(link);
        if (m_mode == ProxyMode::Reset) {
            link->reset();
        } else {
            link->start();
        }
        accept();
    });
}

void Proxy::setMode(ProxyMode mode)
{
    m_mode = mode;
    for (const auto &weak : m_links) {
        const auto link = weak.lock();
        if (link && mode == ProxyMode::Reset) {
            link->reset();
        }
    }
}

} // namespace bergamotglade::soak
