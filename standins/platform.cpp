#include "platform.hpp"

#include <bergamotglade/detail/net/json_codec.hpp>

#include <nlohmann/json.hpp>

namespace bergamotglade::standins {

namespace {

constexpr Millis TickInterval {50};

} // namespace

Platform::Platform(boost::asio::io_context &io, PlatformSettings settings)
    : m_io(io)
    , m_settings(settings)
    , m_timer(io)
    , m_rate(settings.callsPerSecond)
{ }

Result<Endpoint> Platform::start()
{
    auto server =
        HttpServer::listen(m_io, m_settings.listen,
                           [this](const HttpRequest &request, HttpResponder respond,
                                  std::function<bool()> isDisconnected) {
                               onRequest(request, std::move(respond), std::move(isDisconnected));
                           });
    if (!server) {
        return server.error();
    }
    m_server = std::move(server.value());
    scheduleTick();
    return m_server->local();
}

bool Platform::admitCall()
{
    ++m_calls;
    const bool admitted = m_rate.admit(m_settings.callsPerSecond, Clock::now());
    m_limited += admitted ? 0 : 1;
    return admitted;
}

void Platform::onRequest(const HttpRequest &request, HttpResponder respond,
                         std::function<bool()> isDisconnected)
{
    if (handleAdmin(request, respond)) {
        return;
    }
    if (m_down) {
        ++m_calls;
        respond({503, "text/plain", "down\n", {}});
        return;
    }
    if (!admitCall()) {
        respond({429, "text/plain", "too many calls\n", {}});
        return;
    }
    if (request.target == "/v1/vms") {
        const Instant publishedBy = Clock::now() - m_settings.vmListLag;
        std::string json = R"({"vms":[]})";
        for (const VmList &list : m_vmLists) {
            // The first list is served at once, as there is no older one.
            if (list.publishedAt <= publishedBy || &list == &m_vmLists.front()) {
                json = list.json;
            }
        }
        respond({200, "application/json", json, {}});
        return;
    }
    if (!request.target.starts_with("/v1/changes")) {
        respond({404, "text/plain", "unknown\n", {}});
        return;
    }
    const Revision since(queryNumber(request.target, "since"));
    const auto wait = static_cast<std::int64_t>(queryNumber(request.target, "wait"));
    const Revision served = m_stale ? m_staleRevision : m_revision;
    if (wait > 0 && since >= served) {
        m_watches.push_back(
            {since, Clock::now() + Millis(wait), std::move(respond), std::move(isDisconnected)});
        return;
    }
    answerChanges(since, respond);
}

void Platform::answerChanges(Revision since, const HttpResponder &respond) const
{
    const Values &values = m_stale ? m_staleValues : m_values;
    ChangeBatch batch {since, m_stale ? m_staleRevision : m_revision, {}};
    for (const auto &[name, value] : values) {
        if (value.revision > since) {
            batch.changes.push_back({SectionName(name), value.revision, value.text, value.removed});
        }
    }
    respond({200, "application/json", toJson(batch), {}});
}

bool Platform::handleAdmin(const HttpRequest &request, const HttpResponder &respond)
{
    const std::string &target = request.target;
    if (!target.starts_with("/admin/")) {
        return false;
    }
    constexpr std::string_view Prefix = "/admin/values/";
    if (target.starts_with(Prefix)) {
        put(target.substr(Prefix.size()), request.body, request.method == "DELETE");
    } else if (target == "/admin/vms") {
        m_vmLists.push_back({Clock::now(), request.body});
    } else if (target.starts_with("/admin/mode/")) {
        setMode(target.substr(std::string_view("/admin/mode/").size()));
    }
    const nlohmann::json counts {
        {"calls", m_calls}, {"limited", m_limited}, {"revision", m_revision.value()}};
    respond({200, "application/json", counts.dump(), {}});
    return true;
}

void Platform::put(const std::string &name, const std::string &text, bool removed)
{
    m_revision = Revision(m_revision.value() + 1);
    m_values[name] = {m_revision, text, removed};
    if (!m_stale) {
        answerWatches();
    }
}

void Platform::setMode(const std::string &mode)
{
    m_down = mode == "down";
    const bool stale = mode == "stale";
    if (stale && !m_stale) {
        m_staleValues = m_values;
        m_staleRevision = m_revision;
    }
    m_stale = stale;
    if (m_down) {
        for (const Watch &watch : m_watches) {
            watch.respond({503, "text/plain", "down\n", {}});
        }
        m_watches.clear();
    }
}

void Platform::answerWatches()
{
    const Instant now = Clock::now();
    const Revision served = m_stale ? m_staleRevision : m_revision;
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        if (watch->isDisconnected()) {
            watch = m_watches.erase(watch);
        } else if (watch->since < served || watch->deadline <= now) {
            answerChanges(watch->since, watch->respond);
            watch = m_watches.erase(watch);
        } else {
            ++watch;
        }
    }
}

void Platform::scheduleTick()
{
    m_timer.expires_after(TickInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            answerWatches();
            scheduleTick();
        }
    });
}

} // namespace bergamotglade::standins
