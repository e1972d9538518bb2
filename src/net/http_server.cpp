#include "address.hpp"
#include "http_message.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <optional>
#include <set>

namespace bergamotglade {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using BeastError = boost::beast::error_code;

namespace {

/// A connection that sends no request for this long is closed.
constexpr std::chrono::seconds IdleTimeout {120};

/// One connection, which handles its requests one after the other.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, std::shared_ptr<const HttpServer::Handler> handler)
        : m_stream(std::move(socket))
        , m_handler(std::move(handler))
    { }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(HttpBodyMax);
        m_stream.expires_after(IdleTimeout);
        http::async_read(m_stream, m_buffer, *m_parser,
                         [self = shared_from_this()](const BeastError &error, std::size_t) {
                             self->onRead(error);
                         });
    }

    void close()
    {
        BeastError ignored;
        m_closed = true;
        m_stream.socket().close(ignored);
    }

private:
    void onRead(const BeastError &error)
    {
        if (error || m_closed) {
            close();
            return;
        }
        BeastRequest message = m_parser->release();
        m_keepAlive = message.keep_alive();
        m_stream.expires_never();
        auto self = shared_from_this();
        (*m_handler)(
            fromBeast(std::move(message)),
            [self](HttpReply reply) { self->write(std::move(reply)); },
            [self] { return self->isDisconnected(); });
    }

    bool isDisconnected()
    {
        if (m_closed) {
            return true;
        }
        // A connection closed by the client is readable, but a peek returns no data.
        char byte = 0;
        BeastError error;
        m_stream.socket().non_blocking(true, error);
        m_stream.socket().receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error && error != boost::asio::error::would_block;
    }

    void write(HttpReply reply)
    {
        if (m_closed) {
            return;
        }
        m_reply.emplace(toBeast(std::move(reply), m_keepAlive));
        http::async_write(m_stream, *m_reply,
                          [self = shared_from_this()](const BeastError &error, std::size_t) {
                              if (error || !self->m_keepAlive) {
                                  self->close();
                              } else {
                                  self->read();
                              }
                          });
    }

    boost::beast::tcp_stream m_stream;
    std::shared_ptr<const HttpServer::Handler> m_handler;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::optional<BeastResponse> m_reply;
    bool m_keepAlive = false;
    bool m_closed = false;
};

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State>
{
    explicit State(boost::asio::io_context &io)
        : acceptor(io)
    { }

    void accept()
    {
        acceptor.async_accept([self = shared_from_this()](const BeastError &error,
                                                          tcp::socket socket) {
            if (self->closed) {
                return;
            }
            if (!error) {
                BeastError ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                const auto session = std::make_shared<Session>(std::move(socket), self->handler);
                self->sessions.push_back(session);
                std::erase_if(self->sessions, [](const auto &s) { return s.expired(); });
                session->read();
            }
            self->accept();
        });
    }

    tcp::acceptor acceptor;
    std::shared_ptr<const Handler> handler;
    std::vector<std::weak_ptr<Session>> sessions;
    bool closed = false;
};

HttpServer::HttpServer(std::shared_ptr<State> state)
    : m_state(std::move(state))
{ }

Result<std::unique_ptr<HttpServer>> HttpServer::listen(boost::asio::io_context &io,
                                                       const Endpoint &local, Handler handler)
{
    auto state = std::make_shared<State>(io);
    const auto address = toTcp(local);
    BeastError error;
    state->acceptor.open(address.protocol(), error);
    if (!error) {
        state->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        state->acceptor.bind(address, error);
    }
    if (!error) {
        state->acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return Error {ErrorCode::Io, "tcp " + local.str() + ": " + error.message()};
    }
    state->handler = std::make_shared<const Handler>(std::move(handler));
    state->accept();
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

HttpServer::~HttpServer()
{
    BeastError ignored;
    m_state->closed = true;
    m_state->acceptor.close(ignored);
    for (const auto &weak : m_state->sessions) {
        if (const auto session = weak.lock()) {
            session->close();
        }
    }
}

Endpoint HttpServer::local() const
{
    BeastError ignored;
    return fromAsio(m_state->acceptor.local_endpoint(ignored));
}

} // namespace bergamotglade
