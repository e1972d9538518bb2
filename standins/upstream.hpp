/// @file
/// Stand-in for an upstream: slots, speed, cold start, collapse under load while cold, and a health
/// endpoint that always reports success.
#pragma once

#include <bergamotglade/detail/core/random.hpp>
#include <bergamotglade/detail/net/http.hpp>

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>

namespace bergamotglade::standins {

struct UpstreamSettings
{
    Endpoint listen;
    std::string id = "upstream";
    std::string service = "service";
    std::size_t slots = 9; ///< requests processed concurrently; others are queued
    double serviceMs = 20; ///< mean service time of a request when warm
    double coldFactor = 6; ///< service times are multiplied by this while cold
    Millis coldTime {0}; ///< how long it is cold after the start
    std::size_t concurrentRequestsMax = 2000; ///< requests beyond this, queued or running, are shed
    /// Concurrent requests that it can handle while cold. Above this it collapses: it sheds all
    /// requests until it is warm.
    std::size_t coldRequestsMax = 8;
    std::uint64_t seed = 1;
};

/// Answers each request with a body that repeats its method and target, and counts how often each
/// target was run with a method other than GET and HEAD.
class Upstream
{
public:
    Upstream(boost::asio::io_context &io, UpstreamSettings settings);

    /// @return the address at which it listens, or ErrorCode::Io
    Result<Endpoint> start();

private:
    struct Job
    {
        HttpRequest request;
        HttpResponder respond;
        std::function<bool()> isDisconnected;
        Instant deadline;
    };

    void onRequest(HttpRequest request, HttpResponder respond,
                   std::function<bool()> isDisconnected);
    /// @return whether the request is a health check or an `/admin` call and has been answered
    bool handleAdmin(const HttpRequest &request, const HttpResponder &respond);
    void startJobs();
    void run(Job job);
    void finish(const Job &job);
    [[nodiscard]] bool isCold() const;
    [[nodiscard]] Millis drawServiceTime();
    [[nodiscard]] std::string stats() const;

    boost::asio::io_context &m_io;
    UpstreamSettings m_settings;
    Random m_random;
    std::unique_ptr<HttpServer> m_server;
    std::deque<Job> m_queue;
    std::size_t m_running = 0;
    Instant m_coldUntil;
    bool m_collapsed = false; ///< sheds all requests until it is warm
    /// By target: runs of requests with a method other than GET and HEAD.
    std::map<std::string, std::uint64_t> m_runs;
    std::uint64_t m_requests = 0;
    std::uint64_t m_wrongService = 0;
    std::uint64_t m_shed = 0; ///< requests that got status 503
    /// Requests that were not run: their deadline passed or their client disconnected while queued.
    std::uint64_t m_late = 0;
    std::uint64_t m_collapses = 0;
    std::size_t m_concurrentMax = 0;
    std::size_t m_concurrentWhileColdMax = 0;
    std::uint64_t m_busyMs = 0; ///< sum of the service times of all runs
    Instant m_lastRequest;
};

} // namespace bergamotglade::standins
