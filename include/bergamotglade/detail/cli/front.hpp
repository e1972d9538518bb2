/// @file
/// An HTTP/1.1 server that forwards requests of ordinary clients as calls to services.
#pragma once

#include <bergamotglade/detail/net/http.hpp>
#include <bergamotglade/detail/net/udp_caller.hpp>

#include <map>

namespace bergamotglade {

/// The clients share a few flows per service, used round-robin. The first segment of the request
/// target names the service.
class HttpFrontEnd
{
public:
    /// Finds the route to a service; ErrorCode::BadDocument if it is unknown.
    using FindRoute = std::function<Result<CallerRoute>(const ServiceName &)>;

    /// @param listen the address to listen at; port 0 lets the kernel choose a port
    static Result<std::unique_ptr<HttpFrontEnd>> open(boost::asio::io_context &io,
                                                      const Endpoint &listen, FindRoute findRoute,
                                                      Millis deadline, Random random);

    [[nodiscard]] Endpoint local() const { return m_server->local(); }

private:
    HttpFrontEnd(boost::asio::io_context &io, FindRoute findRoute, Millis deadline, Random random);

    void onRequest(const HttpRequest &request, const HttpResponder &respond);
    Result<UdpCaller *> callerFor(const ServiceName &name);

    boost::asio::io_context &m_io;
    FindRoute m_findRoute;
    Millis m_deadline;
    Random m_random;
    std::unique_ptr<HttpServer> m_server;
    std::map<ServiceName, std::vector<std::unique_ptr<UdpCaller>>> m_callers;
    std::size_t m_nextCaller = 0;
};

/// @brief Converts the result of a call to an HTTP reply.
/// @return the answer; 503 with Retry-After for "not run" and "refused", 504 for "unknown", each
/// with a JSON body that names the outcome
[[nodiscard]] HttpReply toHttpReply(const CallResult &result);

} // namespace bergamotglade
