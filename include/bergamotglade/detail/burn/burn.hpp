/// @file
/// Burn rate of service-level objectives: how fast the error budget is used up.
#pragma once

#include <bergamotglade/detail/burn/window_counter.hpp>
#include <bergamotglade/detail/config/document.hpp>

#include <optional>

namespace bergamotglade {

/// Request counts that one agent reports for its upstream.
struct BurnSample
{
    ServiceName service;
    UpstreamId upstream;
    FailureDomainId domain;
    RequestCounts shortWindow;
    RequestCounts longWindow;
    RequestCounts sinceStart;
};

/// Windows over which the burn rate is measured.
inline constexpr Millis BurnShortWindow {std::chrono::minutes(5)};
inline constexpr Millis BurnLongWindow {std::chrono::hours(1)};

/// Alert level, from the lower of the burn rates of both windows.
enum class BurnLevel : std::uint8_t { Ok, Slow, Fast };

/// Report of one service. A burn rate of 1 uses up the error budget exactly over the objective's
/// window.
struct BurnLine
{
    ServiceName service;
    Objective objective;
    RequestCounts sinceStart;
    double shortBurn = 0;
    double longBurn = 0;
    /// Remaining share of the budget, by the requests that the agents have counted since their
    /// start; negative if exceeded.
    double budgetLeft = 1;
    /// Time until the budget is used up at the long window's rate; absent if that rate is 0 or the
    /// budget is already used up.
    std::optional<Millis> budgetExhaustedIn;
    /// The failure domain and the upstream with the most failures in the long window.
    FailureDomainId worstDomain;
    UpstreamId worstUpstream;
    BurnLevel level = BurnLevel::Ok;
};

/// @brief Burn rate of the error budget.
/// @return 0 if there were no requests
[[nodiscard]] double burnRate(const RequestCounts &count, const Objective &objective) noexcept;

/// @brief Report of all services.
/// @param services the services, with their objectives
/// @param samples one for each agent that replied
/// @complexity linear in the product of both numbers
[[nodiscard]] std::vector<BurnLine> burnReport(const std::vector<Service> &services,
                                               const std::vector<BurnSample> &samples);

} // namespace bergamotglade
