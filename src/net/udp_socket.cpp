#include <bergamotglade/detail/net/udp_socket.hpp>

#include "address.hpp"

#include <boost/asio/io_context.hpp>

#include <array>

namespace bergamotglade {

namespace {

constexpr std::size_t DatagramBytesMax = 65'536;
constexpr int SocketBufferBytes = 4 << 20;
/// Datagrams read per readiness event, so that other events of the loop are not starved.
constexpr int DatagramsPerEventMax = 64;

} // namespace

struct UdpSocket::State : std::enable_shared_from_this<UdpSocket::State>
{
    explicit State(boost::asio::io_context &io)
        : socket(io)
    { }

    void wait()
    {
        socket.async_wait(boost::asio::ip::udp::socket::wait_read,
                          [self = shared_from_this()](const boost::system::error_code &error) {
                              if (!error && !self->closed) {
                                  self->receive();
                              }
                          });
    }

    void receive()
    {
        for (int i = 0; i < DatagramsPerEventMax && !closed; ++i) {
            boost::system::error_code error;
            boost::asio::ip::udp::endpoint from;
            const std::size_t size =
                socket.receive_from(boost::asio::buffer(buffer), from, 0, error);
            if (error == boost::asio::error::would_block) {
                break;
            }
            // An ICMP error for an earlier send is reported here and concerns no received datagram.
            if (error) {
                continue;
            }
            const Endpoint peer = fromAsio(from);
            if (!dropFilter || !dropFilter(peer)) {
                onDatagram(peer, std::string_view(buffer.data(), size));
            }
        }
        if (!closed) {
            wait();
        }
    }

    boost::asio::ip::udp::socket socket;
    OnDatagram onDatagram;
    DropFilter dropFilter;
    bool closed = false;
    std::array<char, DatagramBytesMax> buffer {};
};

UdpSocket::UdpSocket(std::shared_ptr<State> state)
    : m_state(std::move(state))
{ }

Result<std::unique_ptr<UdpSocket>> UdpSocket::open(boost::asio::io_context &io,
                                                   const Endpoint &local, OnDatagram onDatagram)
{
    auto state = std::make_shared<State>(io);
    boost::system::error_code error;
    const auto address = toUdp(local);
    state->socket.open(address.protocol(), error);
    if (!error) {
        state->socket.bind(address, error);
    }
    if (error) {
        return Error {ErrorCode::Io, "udp " + local.str() + ": " + error.message()};
    }
    // Bursts from the fabric overflow the default buffer. The kernel may grant less than this.
    state->socket.set_option(boost::asio::socket_base::receive_buffer_size(SocketBufferBytes),
                             error);
    state->socket.non_blocking(true);
    state->onDatagram = std::move(onDatagram);
    state->wait();
    return std::unique_ptr<UdpSocket>(new UdpSocket(std::move(state)));
}

UdpSocket::~UdpSocket()
{
    boost::system::error_code ignored;
    m_state->closed = true;
    m_state->socket.close(ignored);
}

bool UdpSocket::send(const Endpoint &to, std::string_view bytes)
{
    if (m_state->dropFilter && m_state->dropFilter(to)) {
        return true;
    }
    boost::system::error_code error;
    m_state->socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()), toUdp(to), 0, error);
    return !error;
}

void UdpSocket::setDropFilter(DropFilter dropFilter)
{
    m_state->dropFilter = std::move(dropFilter);
}

Endpoint UdpSocket::local() const
{
    boost::system::error_code ignored;
    return fromAsio(m_state->socket.local_endpoint(ignored));
}

} // namespace bergamotglade
