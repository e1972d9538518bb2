#include <bergamotglade/detail/daemon/log.hpp>

#include <bergamotglade/detail/admission/rate_limit.hpp>

#include <nlohmann/json.hpp>

#include <easylogging++.h>

#include <poll.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace bergamotglade {

namespace {

/// Maximum rate of lines about decisions: enough to follow one flow, at a cost of a few
/// milliseconds of CPU time per second.
constexpr double DecisionsPerSecond = 400;
/// Maximum number of lines about decisions in a burst.
constexpr double DecisionBurst = 800;
/// Longest line, newline included; longer lines are truncated. A pipe that polls as writable takes
/// this many bytes without blocking.
constexpr std::size_t LineBytesMax = 4096;

std::string processName;
std::uint64_t droppedLines = 0;
RateLimit decisionLimit {DecisionBurst};

/// Writes a line to standard output, or drops it if the write would block.
class NonBlockingOutput : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        std::string line = data->logMessage()->message();
        line.resize(std::min(line.size(), LineBytesMax - 1));
        line += '\n';
        pollfd output {STDOUT_FILENO, POLLOUT, 0};
        const bool writable = ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
        if (!writable || ::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
            ++droppedLines;
        }
    }
};

std::string formatLine(std::string_view level, std::string_view event,
                       std::initializer_list<LogField> fields)
{
    nlohmann::ordered_json line;
    const auto wallTime = std::chrono::system_clock::now().time_since_epoch();
    line["time_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(wallTime).count();
    line["level"] = level;
    line["process"] = processName;
    line["event"] = event;
    for (const LogField &field : fields) {
        std::visit([&](const auto &value) { line[std::string(field.key)] = value; }, field.value);
    }
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace

void setUpLog(const std::string &process, LogLevel level)
{
    processName = process;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    el::Loggers::reconfigureLogger("default", configuration);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
        "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<NonBlockingOutput>("NonBlockingOutput");
    setLogLevel(level);
}

void setLogLevel(LogLevel level)
{
    el::Configurations configuration;
    const std::string info = level == LogLevel::Error ? "false" : "true";
    const std::string debug = level == LogLevel::Debug ? "true" : "false";
    configuration.set(el::Level::Info, el::ConfigurationType::Enabled, info);
    configuration.set(el::Level::Debug, el::ConfigurationType::Enabled, debug);
    el::Loggers::reconfigureLogger("default", configuration);
}

void logEvent(std::string_view event, std::initializer_list<LogField> fields)
{
    LOG(INFO) << formatLine("info", event, fields);
}

void logDecision(std::string_view event, std::initializer_list<LogField> fields)
{
    if (!decisionLimit.admit(DecisionsPerSecond, Clock::now())) {
        ++droppedLines;
        return;
    }
    LOG(INFO) << formatLine("info", event, fields);
}

void logInfo(const std::string &message)
{
    logEvent("state", {{"message", message}});
}

void logError(const std::string &message)
{
    LOG(ERROR) << formatLine("error", "error", {{"message", message}});
}

std::uint64_t droppedLogLines() noexcept
{
    return droppedLines;
}

} // namespace bergamotglade
