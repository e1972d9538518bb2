#include <bergamotglade/detail/net/connection_check.hpp>

#include "address.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace bergamotglade {

class ConnectionCheck::Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    Attempt(boost::asio::io_context &io, Callback done)
        : m_stream(io)
        , m_done(std::move(done))
    { }

    void connect(const Endpoint &address, Millis timeout)
    {
        m_stream.expires_after(timeout);
        m_stream.async_connect(toTcp(address),
                               [self = shared_from_this()](const boost::beast::error_code &error) {
                                   self->m_stream.close();
                                   if (const Callback done = std::exchange(self->m_done, nullptr)) {
                                       done(!error ? ConnectionOutcome::Accepted
                                                : error == boost::asio::error::connection_refused
                                                ? ConnectionOutcome::Refused
                                                : ConnectionOutcome::Unknown);
                                   }
                               });
    }

    void cancel()
    {
        m_done = nullptr;
        m_stream.close();
    }

private:
    boost::beast::tcp_stream m_stream;
    Callback m_done;
};

ConnectionCheck::ConnectionCheck(boost::asio::io_context &io)
    : m_io(io)
{ }

ConnectionCheck::~ConnectionCheck()
{
    if (m_attempt) {
        m_attempt->cancel();
    }
}

void ConnectionCheck::start(const Endpoint &address, Millis timeout, Callback done)
{
    if (m_attempt) {
        m_attempt->cancel();
    }
    m_attempt = std::make_shared<Attempt>(m_io, std::move(done));
    m_attempt->connect(address, timeout);
}

} // namespace bergamotglade
