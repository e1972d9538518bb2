/// @file
/// Structured log lines on standard output, one JSON object each.
#pragma once

#include <bergamotglade/detail/daemon/settings.hpp>

#include <nlohmann/json_fwd.hpp>

#include <initializer_list>
#include <string_view>
#include <variant>

namespace bergamotglade {

/// One named value of a line.
struct LogField
{
    std::string_view key;
    std::variant<std::string, std::int64_t, std::uint64_t, double, bool> value;
};

/// @brief Sends lines to standard output. A reader that stops reading loses lines, which are
/// counted; the process never waits for it.
/// @param process named in each line
void setUpLog(const std::string &process, LogLevel level);
void setLogLevel(LogLevel level);

/// @brief A change of state of the process or of what it believes.
void logEvent(std::string_view event, std::initializer_list<LogField> fields = {});
/// @brief A decision that touched one request. At most a fixed number of these a second; the rest
/// is counted.
void logDecision(std::string_view event, std::initializer_list<LogField> fields);
void logState(const std::string &line);
void logError(const std::string &line);

/// @brief Lines lost so far, to the rate limit or to a reader that stopped.
[[nodiscard]] std::uint64_t droppedLogLines() noexcept;

} // namespace bergamotglade
