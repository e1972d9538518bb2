/// @file
/// Check whether a process listens at a TCP address.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>
#include <bergamotglade/detail/core/endpoint.hpp>

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace bergamotglade {

enum class ConnectionOutcome : std::uint8_t {
    Accepted, ///< a process listens
    Refused, ///< no process listens
    Unknown, ///< no answer in time, or another error
};

/// Connects to TCP addresses and closes the connections at once, without sending data.
class ConnectionCheck
{
public:
    using Callback = std::function<void(ConnectionOutcome)>;

    explicit ConnectionCheck(boost::asio::io_context &io);
    /// @brief Cancels the check in progress; its callback is not called.
    ~ConnectionCheck();
    ConnectionCheck(const ConnectionCheck &) = delete;
    ConnectionCheck &operator=(const ConnectionCheck &) = delete;

    /// @brief Connects to an address, and cancels a check that is still in progress.
    /// @param done called once, after the function has returned, unless the check is cancelled
    void start(const Endpoint &address, Millis timeout, Callback done);

private:
    class Attempt;

    boost::asio::io_context &m_io;
    std::shared_ptr<Attempt> m_attempt;
};

} // namespace bergamotglade
