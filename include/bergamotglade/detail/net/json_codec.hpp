/// @file
/// JSON encoding of control messages and reports.
#pragma once

#include <bergamotglade/detail/dissemination/dissemination.hpp>
#include <bergamotglade/detail/steering/flow_explanation.hpp>

#include <nlohmann/json_fwd.hpp>

namespace bergamotglade {

[[nodiscard]] std::string toJson(const ChangeBatch &batch);
/// @brief Decodes a batch of configuration sections.
/// @return the batch, or ErrorCode::BadJson with a message that names the cause
[[nodiscard]] Result<ChangeBatch> batchFromJson(std::string_view text);

[[nodiscard]] std::string toJson(const std::vector<Vm> &vms);
/// @brief Decodes the VM list of the platform.
/// @return the list; ErrorCode::BadJson, or ErrorCode::BadAddress for an invalid endpoint
[[nodiscard]] Result<std::vector<Vm>> vmsFromJson(std::string_view text);

/// @brief State of a steered flow at one process, as a JSON object for tools.
[[nodiscard]] std::string toJson(const FlowExplanation &explanation);

/// @brief Findings as a JSON array, for tools.
[[nodiscard]] std::string toJson(const Findings &findings);

} // namespace bergamotglade
