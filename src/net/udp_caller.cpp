#include <bergamotglade/detail/net/udp_caller.hpp>

#include <bergamotglade/detail/net/datagram_codec.hpp>
#include <bergamotglade/detail/net/http_codec.hpp>
#include <bergamotglade/detail/net/udp_socket.hpp>

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bergamotglade {

namespace {

constexpr Millis CallerTickInterval {10};

} // namespace

struct UdpCaller::State : std::enable_shared_from_this<UdpCaller::State>
{
    State(boost::asio::io_context &io, CallerRoute destination, Random generator,
          FabricEmulation emulation)
        : timer(io)
        , route(std::move(destination))
        , random(std::move(generator))
        , fabric(std::move(emulation))
    { }

    void send(const Request &request)
    {
        std::string bytes = encode(CallerFrame {route.address, encode(request)});
        const auto sendFrame = [weak = weak_from_this()](const std::string &frame) {
            if (const auto self = weak.lock()) {
                const std::size_t index = randomBelow(self->random, self->route.balancers.size());
                self->socket->send(self->route.balancers[index], frame);
            }
        };
        if (fabric) {
            fabric(std::move(bytes), sendFrame);
        } else {
            sendFrame(bytes);
        }
    }

    void onDatagram(std::string_view bytes)
    {
        const auto response = decodeResponse(bytes);
        if (response) {
            node->onResponse(response.value(), Clock::now());
        }
    }

    void scheduleTick()
    {
        if (tickScheduled || node->openCalls() == 0) {
            return;
        }
        tickScheduled = true;
        timer.expires_after(CallerTickInterval);
        timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            self->tickScheduled = false;
            if (!error && self->socket) {
                self->node->onTick(Clock::now());
                self->scheduleTick();
            }
        });
    }

    boost::asio::steady_timer timer;
    CallerRoute route;
    Random random;
    FabricEmulation fabric;
    std::unique_ptr<UdpSocket> socket;
    std::unique_ptr<CallerNode> node;
    bool tickScheduled = false;
};

UdpCaller::UdpCaller(std::shared_ptr<State> state)
    : m_state(std::move(state))
{ }

Result<std::unique_ptr<UdpCaller>> UdpCaller::open(boost::asio::io_context &io, CallerRoute route,
                                                   Random random, FabricEmulation fabric)
{
    if (route.balancers.empty()) {
        return Error {ErrorCode::BadAddress, "the route of the caller names no balancer"};
    }
    CallerSettings settings;
    settings.id = CallerId("c" + std::to_string(random()));
    settings.service = route.service;
    const std::uint32_t loopback = 0x7f000001;
    // Binds to loopback if the first balancer is on loopback, else to any address.
    const bool isLoopback = (route.balancers.front().address >> 24U) == (loopback >> 24U);
    auto state =
        std::make_shared<State>(io, std::move(route), std::move(random), std::move(fabric));
    std::weak_ptr<State> weak = state;
    auto socket = UdpSocket::open(io, {isLoopback ? loopback : 0, 0},
                                  [weak](const Endpoint &, std::string_view bytes) {
                                      if (const auto self = weak.lock()) {
                                          self->onDatagram(bytes);
                                      }
                                  });
    if (!socket) {
        return socket.error();
    }
    state->socket = std::move(socket.value());
    state->node = std::make_unique<CallerNode>(std::move(settings), [weak](const Request &request) {
        if (const auto self = weak.lock()) {
            self->send(request);
        }
    });
    return std::unique_ptr<UdpCaller>(new UdpCaller(std::move(state)));
}

UdpCaller::~UdpCaller()
{
    m_state->timer.cancel();
    m_state->socket.reset();
}

void UdpCaller::submit(Call call, Completion done)
{
    m_state->node->submit(std::move(call), std::move(done), Clock::now());
    m_state->scheduleTick();
}

std::size_t UdpCaller::openCalls() const
{
    return m_state->node->openCalls();
}

const CallerCounters &UdpCaller::counters() const
{
    return m_state->node->counters();
}

const std::optional<OwnerToken> &UdpCaller::owner() const
{
    return m_state->node->owner();
}

} // namespace bergamotglade
