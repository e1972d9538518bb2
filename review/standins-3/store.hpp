// Stand-in for the platform's metadata store: reads and watches over HTTP/1.1.
#pragma once

#include "net.hpp"

#include <algorithm>
#include <memory>
#include <optional>

namespace rig {

inline std::string base64(const std::string &in)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        std::uint32_t v = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            v = (v << 8U) | (i + k < in.size() ? static_cast<unsigned char>(in[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += i + k > in.size() ? '=' : digits[(v >> (18U - 6U * k)) & 63U];
        }
    }
    return out;
}

class Store
{
public:
    enum class Mode { Up, Silent, Busy };
    struct Item
    {
        std::string value; ///< as base64
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        bool deleted = false;
    };
    /// Contents at one moment.
    struct Copy
    {
        std::map<std::string, Item> items;
        std::uint64_t revision = 0;
    };

    Store(Loop &loop, const Address &address)
        : m_loop(loop)
    {
        m_listener = openSocket(SOCK_STREAM, address);
        if (m_listener >= 0) {
            loop.watch(m_listener, [this] { accept(); });
        }
    }
    bool isOpen() const { return m_listener >= 0; }
    bool isUp() const { return m_mode == Mode::Up; }

    /// @return whether the store has accepted the change
    bool put(const std::string &key, const std::string &value)
    {
        if (!isUp()) {
            return false;
        }
        Item &item = m_items[key];
        const bool exists = item.revision != 0 && !item.deleted;
        item = {base64(value), ++m_revision, exists ? item.created : m_revision, false};
        answerWatches();
        return true;
    }
    bool remove(const std::string &key)
    {
        const auto found = m_items.find(key);
        if (!isUp() || found == m_items.end() || found->second.deleted) {
            return false;
        }
        found->second = {{}, ++m_revision, 0, true};
        answerWatches();
        return true;
    }
    /// The sequence of an entry has risen: no event, as the page says of entries.
    bool refresh(const std::string &key, const std::string &value)
    {
        const auto found = m_items.find(key);
        if (!isUp() || found == m_items.end() || found->second.deleted) {
            return false;
        }
        found->second.value = base64(value);
        return true;
    }
    /// Discards the history: a watch from before gets 410.
    void compact() { m_historyFrom = m_revision; }
    /// All answers carry the header `Store-Era` from now on.
    void setEra(std::uint64_t era) { m_era = era; }
    Copy copy() const { return {m_items, m_revision}; }
    /// Returns to the contents of a copy, in the next era.
    void restore(const Copy &copy)
    {
        m_items = copy.items;
        m_revision = copy.revision;
        m_historyFrom = 0;
        m_pastRevisions.clear();
        ++m_era;
        answerWatches();
    }
    bool holds(const std::string &key) const
    {
        const auto found = m_items.find(key);
        return found != m_items.end() && !found->second.deleted;
    }
    /// Leaves all calls unanswered, or refuses them with 503, or serves them.
    void setMode(Mode mode)
    {
        m_mode = mode;
        if (mode == Mode::Up) {
            // Connections on which an answer was lost return nothing further.
            for (const auto &session : std::vector(m_sessions)) {
                if (session->isLost) {
                    drop(session);
                }
            }
        } else {
            for (const auto &session : m_sessions) {
                if (session->watchAfter && mode == Mode::Busy) {
                    reply(*session, 503, "{}");
                }
                session->isLost |= session->watchAfter.has_value() && mode == Mode::Silent;
                session->watchAfter.reset();
            }
        }
    }

private:
    struct Session
    {
        int fd = -1;
        std::string input;
        bool isLost = false;
        std::optional<std::uint64_t> watchAfter;
        std::string watchPrefix;
        Ms watchUntil = 0;
    };
    using SessionPtr = std::shared_ptr<Session>;

    void accept()
    {
        const int fd = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        const auto session = std::make_shared<Session>();
        session->fd = fd;
        m_sessions.push_back(session);
        m_loop.watch(fd, [this, session] { read(session); });
    }
    void drop(const SessionPtr &session)
    {
        m_loop.unwatch(session->fd);
        close(session->fd);
        std::erase(m_sessions, session);
    }
    void read(const SessionPtr &session)
    {
        char buffer[4096];
        const ssize_t size = recv(session->fd, buffer, sizeof buffer, 0);
        if (size <= 0) {
            drop(session);
            return;
        }
        session->input.append(buffer, static_cast<std::size_t>(size));
        const auto end = session->input.find("\r\n\r\n");
        if (end == std::string::npos) {
            return;
        }
        const auto start = session->input.find(' ') + 1;
        const std::string target =
            session->input.substr(start, session->input.find(' ', start) - start);
        session->input.erase(0, end + 4);
        if (m_mode == Mode::Silent || session->isLost) {
            session->isLost = true;
        } else if (m_mode == Mode::Busy) {
            reply(*session, 503, "{}");
        } else {
            m_loop.after(AnswerMs, [this, session, target] {
                const auto open = std::find(m_sessions.begin(), m_sessions.end(), session);
                if (open == m_sessions.end()) {
                    return;
                }
                if (m_mode == Mode::Up) {
                    onCall(session, target);
                } else {
                    session->isLost = true;
                }
            });
        }
    }
    static std::string parameter(const std::string &target, const std::string &name)
    {
        const auto at = target.find(name + "=");
        if (at == std::string::npos) {
            return {};
        }
        const auto from = at + name.size() + 1;
        return target.substr(from, target.find('&', from) - from);
    }
    void onCall(const SessionPtr &session, const std::string &target)
    {
        const std::string prefix = parameter(target, "prefix");
        if (target.starts_with("/-/kv-range")) {
            const std::string after = parameter(target, "after");
            std::string items;
            std::size_t count = 0;
            bool hasMore = false;
            for (const auto &[key, item] : m_items) {
                if (item.deleted || !key.starts_with(prefix) || key <= after) {
                    continue;
                }
                if (count == PageItems || items.size() > PageBytes) {
                    hasMore = true;
                    break;
                }
                ++count;
                items += (items.empty() ? "" : ",") + text(key, item);
            }
            reply(*session, 200,
                  "{\"items\":[" + items + "],\"has_more\":" + (hasMore ? "true" : "false")
                      + ",\"as_of\":" + std::to_string(m_revision) + "}");
        } else if (target.starts_with("/-/kv-watch")) {
            discardHistory();
            const auto watchAfter = std::stoull("0" + parameter(target, "after"));
            if (watchAfter < m_historyFrom || watchAfter > m_revision) {
                reply(*session, 410, "{}");
                return;
            }
            session->watchAfter = watchAfter;
            session->watchPrefix = prefix;
            session->watchUntil = nowMs() + std::stoll("0" + parameter(target, "wait_ms"));
            if (!answerWatch(*session)) {
                m_loop.at(session->watchUntil, [this, session] {
                    if (session->watchAfter) {
                        answerWatch(*session);
                    }
                });
            }
        } else {
            reply(*session, 404, "{}");
        }
    }
    static std::string text(const std::string &key, const Item &item)
    {
        std::string out = "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(item.revision);
        if (item.deleted) {
            return out + ",\"deleted\":true}";
        }
        return out + ",\"value\":\"" + item.value
            + "\",\"created_at\":" + std::to_string(item.created) + ",\"lease\":0}";
    }
    bool answerWatch(Session &session)
    {
        std::map<std::uint64_t, std::string> events;
        for (const auto &[key, item] : m_items) {
            if (item.revision > *session.watchAfter && key.starts_with(session.watchPrefix)) {
                events[item.revision] = text(key, item);
            }
        }
        if (events.empty() && nowMs() < session.watchUntil) {
            return false;
        }
        std::string list;
        for (const auto &[revision, event] : events) {
            list += (list.empty() ? "" : ",") + event;
        }
        session.watchAfter.reset();
        reply(session, 200,
              "{\"events\":[" + list + "],\"as_of\":" + std::to_string(m_revision) + "}");
        return true;
    }
    /// Discards the history that is older than `retention_s`.
    void discardHistory()
    {
        const Ms now = nowMs();
        if (m_pastRevisions.empty() || now - m_pastRevisions.back().first >= 100) {
            m_pastRevisions.emplace_back(now, m_revision);
        }
        while (!m_pastRevisions.empty() && now - m_pastRevisions.front().first > RetentionMs) {
            m_historyFrom = std::max(m_historyFrom, m_pastRevisions.front().second);
            m_pastRevisions.erase(m_pastRevisions.begin());
        }
    }
    void answerWatches()
    {
        for (const auto &session : m_sessions) {
            if (session->watchAfter) {
                answerWatch(*session);
            }
        }
    }
    void reply(Session &session, int status, const std::string &body) const
    {
        const std::string out = "HTTP/1.1 " + std::to_string(status)
            + " X\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size())
            + (m_era == 0 ? "" : "\r\nStore-Era: " + std::to_string(m_era)) + "\r\n\r\n" + body;
        std::size_t sent = 0;
        while (sent < out.size()) {
            const ssize_t size =
                send(session.fd, out.data() + sent, out.size() - sent, MSG_NOSIGNAL);
            if (size <= 0) {
                if (errno != EAGAIN) {
                    return;
                }
                pollfd writable {session.fd, POLLOUT, 0};
                poll(&writable, 1, 100);
                continue;
            }
            sent += static_cast<std::size_t>(size);
        }
    }

    static constexpr std::size_t PageItems = 500;
    static constexpr std::size_t PageBytes = 1'000'000;
    static constexpr Ms RetentionMs = 20'000;
    static constexpr Ms AnswerMs = 4;

    Loop &m_loop;
    int m_listener = -1;
    Mode m_mode = Mode::Up;
    std::uint64_t m_revision = 100;
    std::uint64_t m_historyFrom = 0;
    std::vector<std::pair<Ms, std::uint64_t>> m_pastRevisions; ///< by time
    std::uint64_t m_era = 0; ///< 0: no header
    std::map<std::string, Item> m_items;
    std::vector<SessionPtr> m_sessions;
};

} // namespace rig
