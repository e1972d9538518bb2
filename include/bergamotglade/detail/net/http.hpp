/// @file
/// A small HTTP server and client over TCP, for control and for upstreams.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>
#include <bergamotglade/detail/core/endpoint.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace bergamotglade {

/// Largest body that either side accepts, in bytes.
inline constexpr std::size_t HttpBodyMax = 16U << 20U;

struct HttpHeader
{
    std::string name;
    std::string value;
};

struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/";
    std::string host;
    std::string contentType;
    std::string body;
    std::vector<HttpHeader> headers;

    /// @brief A header's value, empty where absent. Names compare without case.
    [[nodiscard]] std::string header(std::string_view name) const;
};

struct HttpReply
{
    std::uint16_t status = 200;
    std::string contentType = "text/plain";
    std::string body;
    std::vector<HttpHeader> headers;

    [[nodiscard]] std::string header(std::string_view name) const;
};

/// @brief The number behind `key=` in a request's target; 0 where there is none.
[[nodiscard]] std::uint64_t queryNumber(std::string_view target, std::string_view key);

/// @brief The text behind `key=` in a request's target, up to the next `&`; empty without one.
[[nodiscard]] std::string queryText(std::string_view target, std::string_view key);

/// Sends the reply to one request; may be called later, once.
using HttpResponder = std::function<void(HttpReply)>;

/// Serves connections until destroyed.
class HttpServer
{
public:
    /// The caller may go away before the reply; `isGone` tells.
    using Handler = std::function<void(HttpRequest, HttpResponder, std::function<bool()> isGone)>;

    /// @param local port 0 lets the kernel choose
    /// @return the server, or ErrorCode::Io
    static Result<std::unique_ptr<HttpServer>> listen(boost::asio::io_context &io,
                                                      const Endpoint &local, Handler handler);
    ~HttpServer();

    [[nodiscard]] Endpoint local() const;

private:
    struct State;
    explicit HttpServer(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

/// How a client call failed.
struct HttpFailure
{
    Error error;
    /// No byte of the request had been written.
    bool notSent = false;
};

using HttpDone = std::function<void(Result<HttpReply, HttpFailure>)>;

/// Calls one server; keeps idle connections for idempotent requests.
class HttpClient
{
public:
    /// Handle of one call; cancelling drops the connection and the callback.
    using Cancel = std::function<void()>;

    /// @param idleMax idle connections kept per server
    explicit HttpClient(boost::asio::io_context &io, std::size_t idleMax = 16);
    ~HttpClient();

    /// @brief Sends one request.
    /// @param timeout for the whole call
    /// @param done called once unless cancelled
    Cancel call(const Endpoint &server, const HttpRequest &request, Millis timeout, HttpDone done);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// @brief One blocking call, for tools. Runs its own event loop.
[[nodiscard]] Result<HttpReply> httpCall(const Endpoint &server, const HttpRequest &request,
                                         Millis timeout);

} // namespace bergamotglade
