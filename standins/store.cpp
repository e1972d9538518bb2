#include "store.hpp"

#include <nlohmann/json.hpp>

#include <boost/beast/core/detail/base64.hpp>

namespace bergamotglade::standins {

namespace {

using nlohmann::json;

constexpr Millis TickInterval {10};
constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t StatusUnavailable = 503;

std::string base64(const std::string &text)
{
    namespace codec = boost::beast::detail::base64;
    std::string out(codec::encoded_size(text.size()), '\0');
    out.resize(codec::encode(out.data(), text.data(), text.size()));
    return out;
}

} // namespace

Store::Store(boost::asio::io_context &io)
    : m_io(io)
    , m_timer(io)
{ }

Result<void> Store::start(const Endpoint &listen)
{
    auto server =
        HttpServer::listen(m_io, listen,
                           [this](const HttpRequest &request, const HttpResponder &respond,
                                  const std::function<bool()> &) { onRequest(request, respond); });
    if (!server) {
        return server.error();
    }
    m_server = std::move(server.value());
    scheduleTick();
    return boost::outcome_v2::success();
}

void Store::put(const std::string &key, const std::string &value)
{
    m_items[key] = {value, ++m_revision, false};
    answerWatches();
}

void Store::remove(const std::string &key)
{
    m_items[key] = {{}, ++m_revision, true};
    answerWatches();
}

void Store::setMode(StoreMode mode)
{
    m_mode = mode;
    if (mode != StoreMode::Silent) {
        // Closes the connections of these calls: a connection ends with its responder.
        m_unanswered.clear();
    }
    answerWatches();
}

void Store::onRequest(const HttpRequest &request, const HttpResponder &respond)
{
    ++m_calls;
    if (m_mode == StoreMode::Silent) {
        m_unanswered.push_back(respond);
    } else if (m_mode == StoreMode::Refusing) {
        respond({StatusUnavailable, "text/plain", "down\n", {}});
    } else if (request.target.starts_with("/-/kv-range")) {
        list(respond);
    } else {
        const std::uint64_t after = queryNumber(request.target, "after");
        const auto wait = static_cast<std::int64_t>(queryNumber(request.target, "wait_ms"));
        if (!answerWatch(after, false, respond)) {
            m_watches.push_back({after, Clock::now() + Millis(wait), respond});
        }
    }
}

void Store::list(const HttpResponder &respond) const
{
    json items = json::array();
    for (const auto &[key, item] : m_items) {
        if (!item.deleted) {
            items.push_back(
                {{"key", key}, {"value", base64(item.value)}, {"revision", item.revision}});
        }
    }
    const json body {{"items", items}, {"has_more", false}, {"as_of", m_revision}};
    respond({StatusOk, "application/json", body.dump(), {}});
}

bool Store::answerWatch(std::uint64_t after, bool timedOut, const HttpResponder &respond) const
{
    json events = json::array();
    for (const auto &[key, item] : m_items) {
        if (item.revision <= after) {
            continue;
        }
        json event {{"key", key}, {"revision", item.revision}};
        if (item.deleted) {
            event["deleted"] = true;
        } else {
            event["value"] = base64(item.value);
        }
        events.push_back(std::move(event));
    }
    if (events.empty() && !timedOut) {
        return false;
    }
    const json body {{"events", events}, {"as_of", m_revision}};
    respond({StatusOk, "application/json", body.dump(), {}});
    return true;
}

void Store::answerWatches()
{
    const Instant now = Clock::now();
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        const bool timedOut = now >= watch->deadline;
        const bool down = m_mode != StoreMode::Up;
        if (down || answerWatch(watch->after, timedOut, watch->respond)) {
            if (m_mode == StoreMode::Refusing) {
                watch->respond({StatusUnavailable, "text/plain", "down\n", {}});
            } else if (m_mode == StoreMode::Silent) {
                m_unanswered.push_back(watch->respond);
            }
            watch = m_watches.erase(watch);
        } else {
            ++watch;
        }
    }
}

void Store::scheduleTick()
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
