/// @file
/// Stand-in for the platform: values with revisions, a watch, a lagging VM list, a call limit.
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
    double callsPerSecond = 2000;
    Millis vmListLag {2000}; ///< how old the served VM list is
};

/// Serves reads to the system and `/admin` calls to the test.
class Platform
{
public:
    Platform(boost::asio::io_context &io, PlatformSettings settings);

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
        Revision since;
        Instant until;
        HttpResponder respond;
        std::function<bool()> isGone;
    };
    struct VmList
    {
        Instant since;
        std::string json;
    };

    void onRequest(const HttpRequest &request, HttpResponder respond, std::function<bool()> isGone);
    bool admin(const HttpRequest &request, const HttpResponder &respond);
    void put(const std::string &name, const std::string &text, bool removed);
    void setMode(const std::string &mode);
    bool takeCall();
    void answerChanges(Revision since, const HttpResponder &respond) const;
    void answerWatches();
    void scheduleTick();

    boost::asio::io_context &m_io;
    PlatformSettings m_settings;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<HttpServer> m_server;
    Values m_values;
    Revision m_revision;
    /// What is served while stale.
    Values m_oldValues;
    Revision m_oldRevision;
    bool m_stale = false;
    bool m_down = false;
    std::list<Watch> m_watches;
    std::vector<VmList> m_vmLists;
    RateLimit m_rate;
    std::uint64_t m_calls = 0;
    std::uint64_t m_limited = 0;
};

} // namespace bergamotglade::standins
