#include <bergamotglade/detail/cli/front.hpp>

#include <bergamotglade/detail/net/http_codec.hpp>

#include <nlohmann/json.hpp>

#include <charconv>

namespace bergamotglade {

namespace {

constexpr std::size_t FlowsPerService = 8;

std::string errorBody(std::string_view outcome, const std::string &reason)
{
    const nlohmann::json body {{"outcome", outcome}, {"reason", reason}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
}

} // namespace

HttpReply toHttpReply(const CallResult &result)
{
    if (result.outcome == Outcome::Answered) {
        return {result.answer.status, result.answer.contentType, result.answer.body, {}};
    }
    HttpReply reply {httpStatusOf(result.outcome),
                     "application/json",
                     errorBody(toString(result.outcome), result.reason),
                     {}};
    if (result.outcome == Outcome::NotRun || result.outcome == Outcome::Refused) {
        constexpr std::int64_t MillisPerSecond = 1000;
        const std::int64_t ms = std::max<std::int64_t>(1, result.retryAfter.count());
        const std::int64_t seconds = (ms + MillisPerSecond - 1) / MillisPerSecond;
        reply.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    return reply;
}

HttpFrontEnd::HttpFrontEnd(boost::asio::io_context &io, FindRoute findRoute, Millis deadline,
                           Random random)
    : m_io(io)
    , m_findRoute(std::move(findRoute))
    , m_deadline(deadline)
    , m_random(std::move(random))
{ }

Result<std::unique_ptr<HttpFrontEnd>> HttpFrontEnd::open(boost::asio::io_context &io,
                                                         const Endpoint &listen,
                                                         FindRoute findRoute, Millis deadline,
                                                         Random random)
{
    std::unique_ptr<HttpFrontEnd> front(
        new HttpFrontEnd(io, std::move(findRoute), deadline, std::move(random)));
    auto server = HttpServer::listen(
        io, listen,
        [self = front.get()](const HttpRequest &request, const HttpResponder &respond,
                             const std::function<bool()> &) { self->onRequest(request, respond); });
    if (!server) {
        return server.error();
    }
    front->m_server = std::move(server.value());
    return front;
}

Result<UdpCaller *> HttpFrontEnd::callerFor(const ServiceName &name)
{
    // An unknown service must not add an entry to m_callers, which would grow without bound.
    const auto found = m_callers.find(name);
    const std::size_t flows = found == m_callers.end() ? 0 : found->second.size();
    if (flows == FlowsPerService) {
        return found->second[++m_nextCaller % FlowsPerService].get();
    }
    auto route = m_findRoute(name);
    if (!route) {
        return route.error();
    }
    auto caller = UdpCaller::open(m_io, std::move(route.value()), m_random);
    if (!caller) {
        return caller.error();
    }
    auto &callers = m_callers[name];
    callers.push_back(std::move(caller.value()));
    return callers.back().get();
}

void HttpFrontEnd::onRequest(const HttpRequest &request, const HttpResponder &respond)
{
    // `/SERVICE/path` names the service, so that a browser needs no special Host header.
    const auto slash = request.target.find('/', 1);
    const std::string name =
        request.target.substr(1, slash == std::string::npos ? slash : slash - 1);
    const auto caller = callerFor(ServiceName(name));
    if (!caller) {
        respond({404, "application/json", errorBody("not-run", caller.error().message), {}});
        return;
    }
    Call call;
    call.method = request.method;
    call.target = slash == std::string::npos ? "/" : request.target.substr(slash);
    call.contentType = request.contentType;
    call.body = request.body;
    call.deadline = m_deadline;
    const std::string deadline = request.header("Glade-Deadline");
    std::int64_t ms = 0;
    std::from_chars(deadline.data(), deadline.data() + deadline.size(), ms);
    if (ms > 0) {
        call.deadline = std::min(Millis(ms), DeadlineMax);
    }
    // The limit applies to the encoded request, so half of it is reserved for the headers.
    if (call.body.size() + call.target.size() > RequestBytesMax / 2) {
        respond({413, "application/json", errorBody("not-run", "request too large"), {}});
        return;
    }
    caller.value()->submit(std::move(call),
                           [respond](const CallResult &result) { respond(toHttpReply(result)); });
}

} // namespace bergamotglade
