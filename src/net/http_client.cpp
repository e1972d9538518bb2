#include "address.hpp"
#include "http_message.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bergamotglade {

namespace http = boost::beast::http;
using BeastError = boost::beast::error_code;
using Stream = boost::beast::tcp_stream;

namespace {

/// Longest idle time of a connection that is reused: the server may have closed an older one.
constexpr Millis IdleAgeMax {3000};

/// A connection that waits for its next request.
struct IdleConnection
{
    std::unique_ptr<Stream> stream;
    Instant idleSince;
};

} // namespace

/// One request and its reply on one connection.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    using ReleaseStream = std::function<void(std::unique_ptr<Stream>)>;

    Exchange(std::unique_ptr<Stream> stream, const HttpRequest &request,
             ReleaseStream releaseStream, HttpCallback done)
        : m_stream(std::move(stream))
        , m_request(toBeast(request))
        , m_releaseStream(std::move(releaseStream))
        , m_done(std::move(done))
    {
        m_parser.body_limit(HttpBodyMax);
    }

    void connect(const Endpoint &server, Millis timeout)
    {
        m_stream->expires_after(timeout);
        m_stream->async_connect(
            toTcp(server), [self = shared_from_this()](const BeastError &error) {
                if (error) {
                    self->fail(error, true);
                    return;
                }
                BeastError ignored;
                self->m_stream->socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
                self->write();
            });
    }

    void reuse(Millis timeout)
    {
        m_stream->expires_after(timeout);
        write();
    }

    void cancel()
    {
        m_done = nullptr;
        BeastError ignored;
        if (m_stream) {
            m_stream->socket().close(ignored);
        }
    }

private:
    void write()
    {
        if (!m_done) {
            return;
        }
        http::async_write(*m_stream, m_request,
                          [self = shared_from_this()](const BeastError &error, std::size_t) {
                              // The server may have received part of the request.
                              error ? self->fail(error, false) : self->read();
                          });
    }

    void read()
    {
        if (!m_done) {
            return;
        }
        http::async_read(*m_stream, m_buffer, m_parser,
                         [self = shared_from_this()](const BeastError &error, std::size_t) {
                             error ? self->fail(error, false) : self->succeed();
                         });
    }

    void succeed()
    {
        if (!m_done) {
            return;
        }
        const HttpCallback done = std::move(m_done);
        m_done = nullptr;
        if (m_parser.keep_alive() && m_buffer.size() == 0) {
            m_stream->expires_never();
            m_releaseStream(std::move(m_stream));
        }
        done(fromBeast(m_parser.release()));
    }

    void fail(const BeastError &error, bool notSent)
    {
        if (!m_done) {
            return;
        }
        const HttpCallback done = std::move(m_done);
        m_done = nullptr;
        const bool timeout = error == boost::beast::error::timeout;
        done(
            HttpFailure {{timeout ? ErrorCode::Timeout : ErrorCode::Io, error.message()}, notSent});
    }

    std::unique_ptr<Stream> m_stream;
    BeastRequest m_request;
    ReleaseStream m_releaseStream;
    HttpCallback m_done;
    boost::beast::flat_buffer m_buffer;
    http::response_parser<http::string_body> m_parser;
};

struct HttpClient::State
{
    boost::asio::io_context &io;
    std::size_t idleConnectionsMax;
    std::unordered_map<Endpoint, std::deque<IdleConnection>> idleConnections;
    /// Calls in progress; the destructor of the client cancels them.
    std::vector<std::weak_ptr<Exchange>> activeExchanges;

    std::unique_ptr<Stream> takeIdle(const Endpoint &server)
    {
        auto &pool = idleConnections[server];
        while (!pool.empty()) {
            IdleConnection last = std::move(pool.back());
            pool.pop_back();
            if (Clock::now() - last.idleSince < IdleAgeMax) {
                return std::move(last.stream);
            }
        }
        return nullptr;
    }

    void addIdle(const Endpoint &server, std::unique_ptr<Stream> stream)
    {
        auto &pool = idleConnections[server];
        pool.push_back({std::move(stream), Clock::now()});
        if (pool.size() > idleConnectionsMax) {
            pool.pop_front();
        }
    }
};

HttpClient::HttpClient(boost::asio::io_context &io, std::size_t idleConnectionsMax)
    : m_state(std::make_shared<State>(State {io, idleConnectionsMax, {}, {}}))
{ }

HttpClient::~HttpClient()
{
    for (const auto &weak : m_state->activeExchanges) {
        if (const auto exchange = weak.lock()) {
            exchange->cancel();
        }
    }
}

HttpClient::Cancel HttpClient::call(const Endpoint &server, const HttpRequest &request,
                                    Millis timeout, HttpCallback done)
{
    // The server may close an idle connection while a request is being sent; the call then fails
    // although the server may have received the request. GET and HEAD are idempotent, so the caller
    // of this function can repeat them. All other requests get a new connection.
    const bool canReuse = request.method == "GET" || request.method == "HEAD";
    auto stream = canReuse ? m_state->takeIdle(server) : nullptr;
    const bool reused = stream != nullptr;
    if (!reused) {
        stream = std::make_unique<Stream>(m_state->io);
    }
    const std::weak_ptr<State> weak = m_state;
    auto releaseStream = [weak, server](std::unique_ptr<Stream> idle) {
        if (const auto state = weak.lock()) {
            state->addIdle(server, std::move(idle));
        }
    };
    const auto exchange = std::make_shared<Exchange>(std::move(stream), request,
                                                     std::move(releaseStream), std::move(done));
    std::erase_if(m_state->activeExchanges, [](const auto &e) { return e.expired(); });
    m_state->activeExchanges.push_back(exchange);
    if (reused) {
        exchange->reuse(timeout);
    } else {
        exchange->connect(server, timeout);
    }
    return [weak = std::weak_ptr<Exchange>(exchange)] {
        if (const auto active = weak.lock()) {
            active->cancel();
        }
    };
}

Result<HttpReply> httpCall(const Endpoint &server, const HttpRequest &request, Millis timeout)
{
    boost::asio::io_context io;
    HttpClient client(io);
    std::optional<Result<HttpReply, HttpFailure>> result;
    client.call(server, request, timeout,
                [&](Result<HttpReply, HttpFailure> reply) { result.emplace(std::move(reply)); });
    io.run();
    if (!result) {
        return Error {ErrorCode::Timeout, "no reply from " + server.str()};
    }
    if (!*result) {
        const Error &error = result->error().error;
        return Error {error.code, server.str() + ": " + error.message};
    }
    return result->value();
}

} // namespace bergamotglade
