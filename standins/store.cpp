#include "store.hpp"

#include <nlohmann/json.hpp>

#include <boost/beast/core/detail/base64.hpp>

namespace bergamotglade::standins {

namespace {

using nlohmann::json;

constexpr Millis TickInterval {10};
constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t StatusGone = 410;
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
    m_contents.items[key] = {value, ++m_contents.revision, false};
    answerWatches();
}

void Store::remove(const std::string &key)
{
    m_contents.items[key] = {{}, ++m_contents.revision, true};
    answerWatches();
}

void Store::restore(const StoreCopy &copy)
{
    m_contents = copy;
    m_era = m_era.value_or(0) + 1;
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
        answer(respond, StatusUnavailable, "down\n");
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
    for (const auto &[key, item] : m_contents.items) {
        if (!item.deleted) {
            items.push_back(
                {{"key", key}, {"value", base64(item.value)}, {"revision", item.revision}});
        }
    }
    const json body {{"items", items}, {"has_more", false}, {"as_of", m_contents.revision}};
    answer(respond, StatusOk, body.dump());
}

void Store::answer(const HttpResponder &respond, std::uint16_t status, std::string body) const
{
    HttpReply reply {
        status, status == StatusOk ? "application/json" : "text/plain", std::move(body), {}};
    if (m_era) {
        reply.headers.push_back({"Store-Era", std::to_string(*m_era)});
    }
    respond(std::move(reply));
}

bool Store::answerWatch(std::uint64_t after, bool timedOut, const HttpResponder &respond) const
{
    if (after > m_contents.revision) {
        answer(respond, StatusGone, "no such revision\n");
        return true;
    }
    json events = json::array();
    for (const auto &[key, item] : m_contents.items) {
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
    const json body {{"events", events}, {"as_of", m_contents.revision}};
    answer(respond, StatusOk, body.dump());
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
                answer(watch->respond, StatusUnavailable, "down\n");
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
