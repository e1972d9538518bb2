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

constexpr Millis ForwardDelay {150};
constexpr std::size_t ChunkBytes = 16'384;

tcp::endpoint toTcpEndpoint(const Endpoint &endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

} // namespace

/// One relayed connection: two sockets and a read-write loop for each direction.
class Proxy::Connection : public std::enable_shared_from_this<Proxy::Connection>
{
public:
    Connection(Proxy &proxy, tcp::socket client)
        : m_proxy(proxy)
        , m_client(std::move(client))
        , m_server(proxy.m_io)
    { }

    void start()
    {
        m_server.async_connect(
            toTcpEndpoint(m_proxy.m_target), [self = shared_from_this()](const error_code &error) {
                if (error) {
                    self->close();
                    return;
                }
                self->relay(self->m_client, self->m_server, self->m_toServer, false);
                self->relay(self->m_server, self->m_client, self->m_toClient, true);
            });
    }

    void reset()
    {
        error_code ignored;
        m_client.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

private:
    using Chunk = std::array<char, ChunkBytes>;

    void close()
    {
        error_code ignored;
        m_client.close(ignored);
        m_server.close(ignored);
    }

    void relay(tcp::socket &from, tcp::socket &to, Chunk &chunk, bool toClient)
    {
        from.async_read_some(asio::buffer(chunk),
                             [this, self = shared_from_this(), &from, &to, &chunk,
                              toClient](const error_code &error, std::size_t bytes) {
                                 if (error) {
                                     close();
                                     return;
                                 }
                                 const ProxyMode mode = m_proxy.m_mode;
                                 m_discarding |= mode == ProxyMode::Silent
                                     || (mode == ProxyMode::OneWay && toClient);
                                 if (m_discarding) {
                                     relay(from, to, chunk, toClient);
                                     return;
                                 }
                                 const Millis delay =
                                     mode == ProxyMode::Delay ? ForwardDelay : Millis();
                                 forward(from, to, chunk, bytes, delay, toClient);
                             });
    }

    void forward(tcp::socket &from, tcp::socket &to, Chunk &chunk, std::size_t bytes, Millis delay,
                 bool toClient)
    {
        const auto timer = std::make_shared<asio::steady_timer>(m_proxy.m_io, delay);
        timer->async_wait([this, self = shared_from_this(), timer, &from, &to, &chunk, bytes,
                           toClient](const error_code & /*error*/) {
            asio::async_write(to, asio::buffer(chunk, bytes),
                              [this, self, &from, &to, &chunk, toClient](const error_code &error,
                                                                         std::size_t /*bytes*/) {
                                  if (error) {
                                      close();
                                  } else {
                                      relay(from, to, chunk, toClient);
                                  }
                              });
        });
    }

    Proxy &m_proxy;
    tcp::socket m_client;
    tcp::socket m_server;
    Chunk m_toServer {};
    Chunk m_toClient {};
    bool m_discarding = false; ///< data was lost, so the rest is discarded too
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
        proxy->m_acceptor.bind(toTcpEndpoint(listen), error);
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
        std::erase_if(m_connections, [](const auto &connection) { return connection.expired(); });
        const auto connection = std::make_shared<Connection>(*this, std::move(client));
        m_connections.push_back(connection);
        if (m_mode == ProxyMode::Reset) {
            connection->reset();
        } else {
            connection->start();
        }
        accept();
    });
}

void Proxy::setMode(ProxyMode mode)
{
    m_mode = mode;
    for (const auto &weakConnection : m_connections) {
        const auto connection = weakConnection.lock();
        if (connection && mode == ProxyMode::Reset) {
            connection->reset();
        }
    }
}

} // namespace bergamotglade::soak
