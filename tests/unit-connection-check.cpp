// Checks whether a process listens at an address.

#include <bergamotglade/detail/net/connection_check.hpp>
#include <bergamotglade/detail/net/http.hpp>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <optional>

using namespace bergamotglade;

namespace {

constexpr std::uint32_t Loopback = 0x7f000001;
constexpr Millis Timeout {1000};

/// A server on a port that the kernel chooses.
std::unique_ptr<HttpServer> listen(boost::asio::io_context &io)
{
    return std::move(HttpServer::listen(io, {Loopback, 0},
                                        [](const HttpRequest &, const HttpResponder &,
                                           const std::function<bool()> &) {})
                         .value());
}

} // namespace

TEST(ConnectionCheck, IsAcceptedWhileAProcessListensAndRefusedAfterwards)
{
    boost::asio::io_context io;
    auto server = listen(io);
    const Endpoint address = server->local();
    ConnectionCheck check(io);
    std::optional<ConnectionOutcome> outcome;
    const auto run = [&] {
        outcome.reset();
        check.start(address, Timeout, [&](ConnectionOutcome result) { outcome = result; });
        EXPECT_FALSE(outcome);
        const Instant end = Clock::now() + Timeout;
        while (!outcome && Clock::now() < end) {
            io.restart();
            io.run_one_for(Millis(10));
        }
        return outcome;
    };
    EXPECT_EQ(run(), ConnectionOutcome::Accepted);
    server.reset();
    io.restart();
    io.poll();
    EXPECT_EQ(run(), ConnectionOutcome::Refused);
}

TEST(ConnectionCheck, CancelledOneDoesNotReport)
{
    boost::asio::io_context io;
    const auto server = listen(io);
    int reports = 0;
    {
        ConnectionCheck check(io);
        check.start(server->local(), Timeout, [&](ConnectionOutcome) { reports += 100; });
        check.start(server->local(), Timeout, [&](ConnectionOutcome) { ++reports; });
        io.run_for(Millis(100));
        EXPECT_EQ(reports, 1);
        check.start(server->local(), Timeout, [&](ConnectionOutcome) { reports += 100; });
    }
    io.restart();
    io.run_for(Millis(100));
    EXPECT_EQ(reports, 1);
}
