/// @file
/// HTTP/1.1 server and client over TCP, for control messages and for requests to upstreams.
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

/// Largest body in bytes that the server and the client accept.
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

    /// @brief Value of a header, empty if the header is absent. Names are case-insensitive.
    [[nodiscard]] std::string header(std::string_view name) const;
};

struct HttpReply
{
    std::uint16_t status = 200;
    std::string contentType = "text/plain";
    std::string body;
    std::vector<HttpHeader> headers;

    /// @brief As HttpRequest::header().
    [[nodiscard]] std::string header(std::string_view name) const;
};

/// @brief Number at the start of the query parameter `key` of a request target; 0 if the parameter
/// is absent, does not start with a digit or is out of range.
[[nodiscard]] std::uint64_t queryNumber(std::string_view target, std::string_view key);

/// @brief Value of the query parameter `key` of a request target, not decoded; empty if it is
/// absent.
[[nodiscard]] std::string queryText(std::string_view target, std::string_view key);

/// Sends the reply to one request. May be called after the handler has returned; must be called at
/// most once.
using HttpResponder = std::function<void(HttpReply)>;

/// Accepts connections and serves requests until it is destroyed.
class HttpServer
{
public:
    /// Handles one request. `isDisconnected` tells whether the client has closed the connection
    /// before the reply.
    using Handler =
        std::function<void(HttpRequest, HttpResponder, std::function<bool()> isDisconnected)>;

    /// @brief Binds and listens on a TCP address.
    /// @param local with port 0 the kernel chooses the port
    /// @param handler called for each request
    /// @return the server, or ErrorCode::Io
    static Result<std::unique_ptr<HttpServer>> listen(boost::asio::io_context &io,
                                                      const Endpoint &local, Handler handler);
    ~HttpServer();

    /// @brief Address that the server is bound to.
    [[nodiscard]] Endpoint local() const;

private:
    struct State;
    explicit HttpServer(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

/// Failure of a client call.
struct HttpFailure
{
    Error error;
    /// No byte of the request was written, so the server cannot have received it.
    bool notSent = false;
};

/// Completion callback of a client call.
using HttpCallback = std::function<void(Result<HttpReply, HttpFailure>)>;

/// Sends requests to servers; keeps idle connections for reuse by GET and HEAD requests.
class HttpClient
{
public:
    /// Cancels one call: closes its connection and discards its callback.
    using Cancel = std::function<void()>;

    /// @param idleConnectionsMax maximum number of idle connections per server
    explicit HttpClient(boost::asio::io_context &io, std::size_t idleConnectionsMax = 16);
    ~HttpClient();

    /// @brief Sends one request.
    /// @param timeout limit of the whole call, connecting included
    /// @param done called once, unless the call is cancelled or the client destroyed
    /// @return function that cancels the call
    Cancel call(const Endpoint &server, const HttpRequest &request, Millis timeout,
                HttpCallback done);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// @brief Sends one request and blocks until the reply, for tools. Runs its own event loop.
/// @param timeout limit of the whole call
/// @return the reply, or ErrorCode::Timeout or Io
[[nodiscard]] Result<HttpReply> httpCall(const Endpoint &server, const HttpRequest &request,
                                         Millis timeout);

} // namespace bergamotglade
