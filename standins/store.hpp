/// @file
/// Stand-in for the platform's key-value store: items with revisions, list calls and watches.
#pragma once

#include <bergamotglade/detail/net/http.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <map>
#include <optional>

namespace bergamotglade::standins {

/// How the store reacts to calls: it answers, refuses them with status 503, or leaves them open.
enum class StoreMode : std::uint8_t { Up, Refusing, Silent };

/// An item, or a tombstone if it was deleted.
struct StoreItem
{
    std::string value;
    std::uint64_t revision = 0;
    bool deleted = false;
};

/// Contents of a store at one moment.
struct StoreCopy
{
    std::map<std::string, StoreItem> items;
    std::uint64_t revision = 1;
};

/// Serves reads over HTTP; a test writes through the member functions.
class Store
{
public:
    explicit Store(boost::asio::io_context &io);

    /// @return ErrorCode::Io if it cannot listen
    Result<void> start(const Endpoint &listen);
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    void setMode(StoreMode mode);
    /// @brief All answers carry the header `Store-Era` from now on.
    void setEra(std::uint64_t era) { m_era = era; }
    [[nodiscard]] StoreCopy copy() const { return m_contents; }
    /// @brief Returns to the contents of a copy, in the next era.
    void restore(const StoreCopy &copy);
    [[nodiscard]] StoreMode mode() const noexcept { return m_mode; }
    [[nodiscard]] std::uint64_t calls() const noexcept { return m_calls; }

private:
    struct Watch
    {
        std::uint64_t after = 0; ///< waits for a later revision
        Instant deadline; ///< answered then, even without changes
        HttpResponder respond;
    };

    void onRequest(const HttpRequest &request, const HttpResponder &respond);
    void list(const HttpResponder &respond) const;
    /// @brief Sends an answer, with the era if there is one.
    void answer(const HttpResponder &respond, std::uint16_t status, std::string body) const;
    /// @brief Answers with the items changed after a revision; with none only if `timedOut`.
    /// @return whether it answered
    [[nodiscard]] bool answerWatch(std::uint64_t after, bool timedOut,
                                   const HttpResponder &respond) const;
    void answerWatches();
    void scheduleTick();

    boost::asio::io_context &m_io;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<HttpServer> m_server;
    StoreCopy m_contents;
    std::optional<std::uint64_t> m_era;
    StoreMode m_mode = StoreMode::Up;
    std::list<Watch> m_watches;
    std::vector<HttpResponder> m_unanswered; ///< calls left open in mode Silent
    std::uint64_t m_calls = 0;
};

} // namespace bergamotglade::standins
