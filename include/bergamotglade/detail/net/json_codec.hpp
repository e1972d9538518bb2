/// @file
/// JSON form of control messages and reports.
#pragma once

#include <bergamotglade/detail/dissemination/dissemination.hpp>
#include <bergamotglade/detail/steering/flow_explanation.hpp>

#include <nlohmann/json_fwd.hpp>

namespace bergamotglade {

[[nodiscard]] std::string toJson(const ChangeBatch &batch);
/// @brief Reads a batch of sections. ErrorCode::BadJson names what is wrong.
[[nodiscard]] Result<ChangeBatch> batchFromJson(std::string_view text);

[[nodiscard]] std::string toJson(const std::vector<Vm> &vms);
/// @brief Reads the platform's VM list. Errors as batchFromJson().
[[nodiscard]] Result<std::vector<Vm>> vmsFromJson(std::string_view text);

/// @brief What a process knows of a steered flow, as a JSON object for tools.
[[nodiscard]] std::string toJson(const FlowExplanation &explanation);

/// @brief Findings as a JSON array, for tools.
[[nodiscard]] std::string toJson(const Findings &findings);

} // namespace bergamotglade
