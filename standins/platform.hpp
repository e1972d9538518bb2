/// @file
/// Stand-in for the platform: values with revisions, watches, a VM list that lags behind and a
/// limit on the call rate.
#pragma once

#include <bergamotglade/detail/admission/rate_limit.hpp>
#include <bergamotglade/detail/config/store.hpp>
#include <bergamotglade/detail/net/http.hpp>

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <map>

namespace bergamotglade::standins {

struct PlatformSettings
{
    Endpoint listen;
    double callsPerSecond = 2000; ///< calls above this rate get status 429
    Millis vmListLag {2000}; ///< age of the served VM list
};

/// Serves reads to the daemons, and `/admin` calls to the test that controls it.
class Platform
{
public:
    Platform(boost::asio::io_context &io, PlatformSettings settings);

    /// @return the address at which it listens, or ErrorCode::Io
    Result<Endpoint> start();

private:
    struct Value
    {
        Revision revision;
        std::string text;
        bool removed = false;
    };
    using Values = std::map<std::string, Value>;
    struct Watch
    {
        Revision since; ///< waits for a later revision
        Instant deadline; ///< answered then, even without changes
        HttpResponder respond;
        std::function<bool()> isDisconnected;
    };
    struct VmList
    {
        Instant publishedAt;
        std::string json;
    };

    void onRequest(const HttpRequest &request, HttpResponder respond,
                   std::function<bool()> isDisconnected);
    /// @return whether the request is an `/admin` call and has been answered
    bool handleAdmin(const HttpRequest &request, const HttpResponder &respond);
    void put(const std::string &name, const std::string &text, bool removed);
    /// @param mode `down`: reads get status 503; `stale`: reads get the values as of this call,
    /// even if they change later; others: reads get the current values
    void setMode(const std::string &mode);
    /// @brief Counts a call; returns false if it exceeds the call rate.
    bool admitCall();
    void answerChanges(Revision since, const HttpResponder &respond) const;
    void answerWatches();
    void scheduleTick();

    boost::asio::io_context &m_io;
    PlatformSettings m_settings;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<HttpServer> m_server;
    Values m_values;
    Revision m_revision;
    /// Values and revision served in mode `stale`.
    Values m_staleValues;
    Revision m_staleRevision;
    bool m_stale = false;
    bool m_down = false;
    std::list<Watch> m_watches;
    std::vector<VmList> m_vmLists; ///< all published lists, oldest first
    RateLimit m_rate;
    std::uint64_t m_calls = 0;
    std::uint64_t m_limited = 0; ///< calls that got status 429
};

} // namespace bergamotglade::standins
