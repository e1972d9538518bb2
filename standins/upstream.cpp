#include "upstream.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <cmath>

namespace bergamotglade::standins {

namespace {

/// For requests without a valid header Glade-Deadline.
constexpr Millis DefaultDeadline {600'000};

} // namespace

Upstream::Upstream(boost::asio::io_context &io, UpstreamSettings settings)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_random(seededRandom(m_settings.seed))
    , m_coldUntil(Clock::now() + m_settings.coldTime)
{ }

Result<Endpoint> Upstream::start()
{
    auto server = HttpServer::listen(
        m_io, m_settings.listen,
        [this](HttpRequest request, HttpResponder respond, std::function<bool()> isDisconnected) {
            onRequest(std::move(request), std::move(respond), std::move(isDisconnected));
        });
    if (!server) {
        return server.error();
    }
    m_server = std::move(server.value());
    return m_server->local();
}

bool Upstream::isCold() const
{
    return Clock::now() < m_coldUntil;
}

Millis Upstream::drawServiceTime()
{
    constexpr double TwoPow53 = 9007199254740992.0;
    constexpr unsigned Shift = 11;
    const double uniform = (static_cast<double>(m_random() >> Shift) + 0.5) / TwoPow53;
    // Half of the mean is fixed, half is exponentially distributed.
    const double ms = m_settings.serviceMs * (0.5 - 0.5 * std::log(uniform));
    return Millis(static_cast<std::int64_t>(ms * (isCold() ? m_settings.coldFactor : 1)) + 1);
}

void Upstream::onRequest(HttpRequest request, HttpResponder respond,
                         std::function<bool()> isDisconnected)
{
    if (handleAdmin(request, respond)) {
        return;
    }
    ++m_requests;
    m_lastRequest = Clock::now();
    if (request.host != m_settings.service) {
        ++m_wrongService;
    }
    const std::size_t concurrent = m_queue.size() + m_running + 1;
    m_concurrentMax = std::max(m_concurrentMax, concurrent);
    if (isCold()) {
        m_concurrentWhileColdMax = std::max(m_concurrentWhileColdMax, concurrent);
        const bool overloaded = concurrent > m_settings.coldRequestsMax;
        m_collapses += overloaded && !m_collapsed ? 1 : 0;
        m_collapsed = m_collapsed || overloaded;
    } else {
        m_collapsed = false;
    }
    if (m_collapsed || concurrent > m_settings.concurrentRequestsMax) {
        ++m_shed;
        respond({503, "text/plain", "shed\n", {}});
        return;
    }
    std::int64_t remainingMs = 0;
    const std::string header = request.header("Glade-Deadline");
    std::from_chars(header.data(), header.data() + header.size(), remainingMs);
    Job job {std::move(request), std::move(respond), std::move(isDisconnected),
             Clock::now() + (remainingMs > 0 ? Millis(remainingMs) : DefaultDeadline)};
    m_queue.push_back(std::move(job));
    startJobs();
}

void Upstream::startJobs()
{
    while (!m_queue.empty() && m_running < m_settings.slots) {
        Job job = std::move(m_queue.front());
        m_queue.pop_front();
        if (Clock::now() >= job.deadline || job.isDisconnected()) {
            ++m_late;
            job.respond({504, "text/plain", "late\n", {}});
            continue;
        }
        run(std::move(job));
    }
}

void Upstream::run(Job job)
{
    ++m_running;
    if (job.request.method != "GET" && job.request.method != "HEAD") {
        ++m_runs[job.request.target];
    }
    const Millis time = drawServiceTime();
    m_busyMs += static_cast<std::uint64_t>(time.count());
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, time);
    timer->async_wait([this, timer, job = std::move(job)](const boost::system::error_code &) {
        --m_running;
        finish(job);
        startJobs();
    });
}

void Upstream::finish(const Job &job)
{
    std::string body =
        m_settings.service + ' ' + job.request.method + ' ' + job.request.target + '\n';
    const std::size_t size = queryNumber(job.request.target, "size");
    while (body.size() < size) {
        body += job.request.target + '\n';
    }
    job.respond({200, "text/plain", std::move(body), {{"Glade-Upstream", m_settings.id}}});
}

bool Upstream::handleAdmin(const HttpRequest &request, const HttpResponder &respond)
{
    if (request.target == "/health") {
        // The health endpoint always reports success, also while the upstream sheds requests.
        respond({200, "text/plain", "ok\n", {}});
        return true;
    }
    if (!request.target.starts_with("/admin/")) {
        return false;
    }
    if (request.target.starts_with("/admin/cold/")) {
        const auto ms =
            std::atoll(request.target.c_str() + std::string_view("/admin/cold/").size());
        m_coldUntil = Clock::now() + Millis(ms);
    } else if (request.target.starts_with("/admin/speed/")) {
        m_settings.serviceMs =
            std::atof(request.target.c_str() + std::string_view("/admin/speed/").size());
    }
    respond({200, "application/json", stats(), {}});
    return true;
}

std::string Upstream::stats() const
{
    const bool hasRequests = m_lastRequest != Instant();
    const auto idleMs = hasRequests ? (Clock::now() - m_lastRequest).count() : -1;
    const nlohmann::json json {{"id", m_settings.id},
                               {"requests", m_requests},
                               {"wrong_service", m_wrongService},
                               {"shed", m_shed},
                               {"late", m_late},
                               {"collapses", m_collapses},
                               {"most_at_once", m_concurrentMax},
                               {"most_while_cold", m_concurrentWhileColdMax},
                               {"busy_ms", m_busyMs},
                               {"quiet_ms", idleMs},
                               {"runs", m_runs}};
    return json.dump();
}

} // namespace bergamotglade::standins
