#include "load.hpp"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cmath>

namespace bergamotglade::scenario {

namespace {

using Need = YamlMap::Need;

constexpr double TwoPow53 = 9007199254740992.0;
constexpr Millis ReorderDelayMin {1};
constexpr Millis OpenCallsPollInterval {20};
constexpr std::uint64_t ReorderDelaySpreadMs = 30;

/// Uniformly distributed between 0 and 1; never 0, so that its logarithm is finite.
double uniformReal(const Random &random)
{
    constexpr unsigned Shift = 11;
    return (static_cast<double>(random() >> Shift) + 0.5) / TwoPow53;
}

/// Calls `deliver` after a delay, unless the event loop ends first.
void deliverLater(boost::asio::io_context &io, Millis delay, std::function<void()> deliver)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(io, delay);
    timer->async_wait(
        [timer, deliver = std::move(deliver)](const boost::system::error_code &error) {
            if (!error) {
                deliver();
            }
        });
}

FabricEmulation makeFabric(boost::asio::io_context &io, const LoadSettings &settings,
                           const Random &random)
{
    return [&io, settings, random](const std::string &bytes,
                                   const std::function<void(std::string)> &send) {
        if (uniformReal(random) < settings.loss) {
            return;
        }
        const int copies = uniformReal(random) < settings.duplicate ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (uniformReal(random) < settings.reorder) {
                const Millis delay = ReorderDelayMin
                    + Millis(static_cast<std::int64_t>(randomBelow(random, ReorderDelaySpreadMs)));
                deliverLater(io, delay, [send, bytes] { send(bytes); });
            } else {
                send(bytes);
            }
        }
    };
}

/// Sends the requests of one load at random times (a Poisson process).
class LoadGenerator
{
public:
    LoadGenerator(const LoadSettings &settings, const CallerRoute &route, LoadResult &result)
        : m_settings(settings)
        , m_result(result)
        , m_random(seededRandom(settings.seed))
        , m_timer(m_io)
    {
        for (std::int64_t i = 0; i < settings.flows; ++i) {
            const Random callerRandom = seededRandom(m_random());
            auto caller = UdpCaller::open(m_io, route, callerRandom,
                                          makeFabric(m_io, settings, callerRandom));
            if (caller) {
                m_callers.push_back(std::move(caller.value()));
            }
        }
    }

    void run()
    {
        if (m_callers.empty()) {
            return;
        }
        m_started = Clock::now();
        m_next = std::chrono::steady_clock::now();
        schedule();
        m_io.run();
        for (const auto &caller : m_callers) {
            const CallerCounters &counters = caller->counters();
            m_result.brokenFlows += counters.brokenFlows;
            m_result.movedFlows += counters.movedFlows;
            m_result.sent += counters.sent;
            m_result.retries += counters.retries;
        }
    }

private:
    void schedule()
    {
        const double interval = -std::log(uniformReal(m_random)) / m_settings.rate;
        m_next += std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            std::chrono::duration<double>(interval));
        m_timer.expires_at(m_next);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (error) {
                return;
            }
            if (Clock::now() - m_started >= m_settings.length) {
                awaitOpenCalls();
                return;
            }
            send();
            schedule();
        });
    }

    /// Stops the event loop once no call is open; every call ends by its deadline.
    void awaitOpenCalls()
    {
        const bool open = std::any_of(m_callers.begin(), m_callers.end(),
                                      [](const auto &c) { return c->openCalls() > 0; });
        if (!open) {
            m_io.stop();
            return;
        }
        m_timer.expires_after(OpenCallsPollInterval);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                awaitOpenCalls();
            }
        });
    }

    void send()
    {
        const bool post = uniformReal(m_random) < m_settings.posts;
        const std::string requestName = m_settings.name + '-' + std::to_string(++m_requestCount);
        Call call;
        call.method = post ? "POST" : "GET";
        call.target = (post ? "/orders/" : "/items/") + requestName;
        if (m_settings.answerBytes > 0) {
            call.target += "?size=" + std::to_string(m_settings.answerBytes);
        }
        call.body = post ? "order" : "";
        call.deadline = m_settings.deadline;
        RequestRecord record;
        record.post = post;
        record.target = call.target;
        record.sendSecond = (Clock::now() - m_started).count() / 1000;
        const std::string expectedStart =
            m_settings.service.str() + ' ' + call.method + ' ' + call.target + '\n';
        const std::size_t index = randomBelow(m_random, m_callers.size());
        m_callers[index]->submit(
            call, [this, record, expectedStart](const CallResult &result) mutable {
                record.outcome = result.outcome;
                record.status = result.answer.status;
                const std::string &body = result.answer.body;
                const auto size = static_cast<std::size_t>(m_settings.answerBytes);
                record.correct = body.starts_with(expectedStart) && body.size() >= size;
                record.latencyMs = result.elapsed.count();
                m_result.records.push_back(std::move(record));
            });
    }

    const LoadSettings &m_settings;
    LoadResult &m_result;
    Random m_random;
    boost::asio::io_context m_io {1};
    boost::asio::steady_timer m_timer;
    std::vector<std::unique_ptr<UdpCaller>> m_callers;
    Instant m_started;
    std::chrono::steady_clock::time_point m_next;
    std::uint64_t m_requestCount = 0;
};

double percentile(std::vector<std::int64_t> &times, double fraction)
{
    if (times.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(times.size() - 1));
    std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(index),
                     times.end());
    return static_cast<double>(times[index]);
}

bool isSuccess(const RequestRecord &record)
{
    constexpr std::uint16_t Ok = 200;
    return record.outcome == Outcome::Answered && record.status == Ok;
}

} // namespace

LoadSettings readLoad(const YAML::Node &node, FindingSink &sink)
{
    constexpr std::int64_t FlowsMax = 5000;
    constexpr double RateMax = 50'000;
    constexpr std::int64_t SeedMax = 1'000'000'000;
    LoadSettings load;
    YamlMap map(node, "load", sink);
    map.text("name", load.name);
    map.id("service", load.service, Need::Required);
    map.integer("flows", load.flows, 1, FlowsMax);
    map.real("rate", load.rate, 1, RateMax);
    map.real("posts", load.posts, 0, 1);
    map.duration("length", load.length);
    map.duration("deadline", load.deadline);
    map.duration("in_time", load.inTime);
    map.integer("answer_bytes", load.answerBytes, 0, AnswerBytesMax / 2);
    map.real("loss", load.loss, 0, 1);
    map.real("duplicate", load.duplicate, 0, 1);
    map.real("reorder", load.reorder, 0, 1);
    auto seed = static_cast<std::int64_t>(load.seed);
    map.integer("seed", seed, 0, SeedMax);
    load.seed = static_cast<std::uint64_t>(seed);
    map.finish();
    return load;
}

Figures evaluate(const LoadResult &result, const LoadSettings &settings,
                 const std::map<std::string, std::uint64_t> &runCounts)
{
    Figures f;
    for (const char *name : {"requests", "answered", "in_time", "not_run", "refused", "unknown",
                             "wrong_answers", "doubled", "false_not_run", "lost_answers"}) {
        f[name] = 0;
    }
    std::vector<std::int64_t> times;
    for (const RequestRecord &record : result.records) {
        const auto found = runCounts.find(record.target);
        const std::uint64_t runCount = found == runCounts.end() ? 0 : found->second;
        const bool success = isSuccess(record);
        f["requests"] += 1;
        f["answered"] += success ? 1 : 0;
        f["in_time"] += success && record.latencyMs <= settings.inTime.count() ? 1 : 0;
        f["not_run"] += record.outcome == Outcome::NotRun ? 1 : 0;
        f["refused"] += record.outcome == Outcome::Refused ? 1 : 0;
        f["unknown"] += record.outcome == Outcome::Unknown ? 1 : 0;
        f["wrong_answers"] += success && !record.correct ? 1 : 0;
        f["doubled"] += record.post && runCount > 1 ? 1 : 0;
        f["false_not_run"] +=
            record.post && record.outcome == Outcome::NotRun && runCount > 0 ? 1 : 0;
        f["lost_answers"] += record.post && success && runCount == 0 ? 1 : 0;
        if (success) {
            times.push_back(record.latencyMs);
        }
    }
    const double total = std::max(1.0, f["requests"]);
    f["answered_share"] = f["answered"] / total;
    f["in_time_share"] = f["in_time"] / total;
    f["broken_flows"] = static_cast<double>(result.brokenFlows);
    f["moved_flows"] = static_cast<double>(result.movedFlows);
    f["retries"] = static_cast<double>(result.retries);
    f["p50_ms"] = percentile(times, 0.5);
    f["p99_ms"] = percentile(times, 0.99);
    const auto seconds = static_cast<double>(settings.length.count()) / 1000;
    f["answered_per_second"] = f["answered"] / seconds;
    return f;
}

std::vector<double> inTimeShares(const LoadResult &result, const LoadSettings &settings)
{
    const auto seconds = static_cast<std::size_t>(settings.length.count() / 1000 + 1);
    std::vector<double> total(seconds);
    std::vector<double> inTime(seconds);
    for (const RequestRecord &record : result.records) {
        const auto index = std::min(static_cast<std::size_t>(record.sendSecond), seconds - 1);
        total[index] += 1;
        inTime[index] += isSuccess(record) && record.latencyMs <= settings.inTime.count() ? 1 : 0;
    }
    for (std::size_t i = 0; i < seconds; ++i) {
        inTime[i] = total[i] > 0 ? inTime[i] / total[i] : 1;
    }
    return inTime;
}

Load::Load(LoadSettings settings, CallerRoute route)
    : m_settings(std::move(settings))
    , m_route(std::move(route))
    , m_thread([this] { run(); })
{ }

Load::~Load()
{
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void Load::run()
{
    LoadGenerator generator(m_settings, m_route, m_result);
    generator.run();
}

const LoadResult &Load::finish()
{
    if (m_thread.joinable()) {
        m_thread.join();
    }
    return m_result;
}

} // namespace bergamotglade::scenario
