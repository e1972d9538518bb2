/// @file
/// Load generator: callers that send requests over a simulated network, and the evaluation of their
/// results.
#pragma once

#include <bergamotglade/detail/config/yaml_map.hpp>
#include <bergamotglade/detail/net/udp_caller.hpp>

#include <map>
#include <thread>

namespace bergamotglade::scenario {

struct LoadSettings
{
    std::string name = "load";
    ServiceName service;
    std::int64_t flows = 10; ///< callers, each of which has one flow
    double rate = 100; ///< requests per second over all flows
    double posts = 0; ///< share of non-idempotent requests
    Millis length {5000}; ///< time for which requests are sent
    Millis deadline {2000}; ///< of each request, from its start
    Millis inTime {500}; ///< answers within this time count as in time
    std::int64_t answerBytes = 0; ///< minimum size of each answer; 0 for the shortest answer
    double loss = 0; ///< share of datagrams that the simulated network drops
    double duplicate = 0; ///< share of datagrams that it delivers twice
    double reorder = 0; ///< share of datagrams that it delays, so that later ones overtake them
    std::uint64_t seed = 1;
};

/// @brief Reads the value of the step `load`.
/// @param sink receives findings about keys and values that are not valid
[[nodiscard]] LoadSettings readLoad(const YAML::Node &node, FindingSink &sink);

/// Outcome of one request.
struct RequestRecord
{
    bool post = false;
    std::string target;
    Outcome outcome = Outcome::Unknown;
    std::uint16_t status = 0;
    bool correct = false; ///< the answer belongs to the request and has at least the requested size
    std::int64_t latencyMs = 0;
    std::int64_t sendSecond = 0; ///< second of the load in which it was sent, from 0
};

struct LoadResult
{
    std::vector<RequestRecord> records;
    std::uint64_t brokenFlows = 0; ///< flows whose owner was lost while in use
    std::uint64_t movedFlows = 0; ///< flows that were handed over to another agent
    std::uint64_t sent = 0;
    std::uint64_t retries = 0;
};

/// Measured values by name; the step `expect` compares them with bounds.
using Figures = std::map<std::string, double>;

/// @brief Evaluates a load, comparing its answers with the run counts of the upstreams.
///
/// Three figures count POST requests that violate a guarantee: `doubled` (run more than once),
/// `false_not_run` (run, but reported to the caller as not run) and `lost_answers` (answered with
/// status 200, but run by no upstream).
/// @param runCounts how often each POST target ran
[[nodiscard]] Figures evaluate(const LoadResult &result, const LoadSettings &settings,
                               const std::map<std::string, std::uint64_t> &runCounts);

/// @brief Share of requests answered in time, for each second of the load; 1 for a second without
/// requests.
[[nodiscard]] std::vector<double> inTimeShares(const LoadResult &result,
                                               const LoadSettings &settings);

/// Runs a load in a separate thread until its length has passed and all calls have ended.
class Load
{
public:
    Load(LoadSettings settings, CallerRoute route);
    ~Load();

    /// @brief Waits for the end of the load.
    const LoadResult &finish();
    [[nodiscard]] const LoadSettings &settings() const noexcept { return m_settings; }

private:
    void run();

    LoadSettings m_settings;
    CallerRoute m_route;
    LoadResult m_result;
    std::thread m_thread;
};

} // namespace bergamotglade::scenario
