/// @file
/// Structured log lines on standard output, one JSON object each.
#pragma once

#include <bergamotglade/detail/daemon/settings.hpp>

#include <nlohmann/json_fwd.hpp>

#include <initializer_list>
#include <string_view>
#include <variant>

namespace bergamotglade {

/// One key and value of a log line.
struct LogField
{
    std::string_view key;
    std::variant<std::string, std::int64_t, std::uint64_t, double, bool> value;
};

/// @brief Directs the log to standard output. Writes never block: lines that a stalled reader
/// leaves no room for are dropped and counted.
/// @param process value of the field `process` in each line
/// @param level lowest severity that is written
void setUpLog(const std::string &process, LogLevel level);
void setLogLevel(LogLevel level);

/// @brief Logs a change of the state of the process or of its view of other processes.
void logEvent(std::string_view event, std::initializer_list<LogField> fields = {});
/// @brief Logs a decision about one flow. The rate of these lines is limited; lines beyond the
/// limit are dropped and counted.
void logDecision(std::string_view event, std::initializer_list<LogField> fields);
/// @brief Logs free text as the event `state`.
void logInfo(const std::string &message);
/// @brief Logs free text as the event `error`.
void logError(const std::string &message);

/// @brief Number of lines dropped so far by the rate limit or because a write would have blocked.
[[nodiscard]] std::uint64_t droppedLogLines() noexcept;

} // namespace bergamotglade
