/// @file
/// What the operators' tool reads from running processes.
#pragma once

#include <bergamotglade/detail/burn/burn.hpp>
#include <bergamotglade/detail/config/store.hpp>
#include <bergamotglade/detail/dissemination/dissemination.hpp>
#include <bergamotglade/detail/flow/flow_key.hpp>

#include <vector>

namespace bergamotglade {

/// What one process says of itself.
struct ProcessStatus
{
    Endpoint endpoint;
    bool reached = false;
    std::string error;
    std::string role;
    VmId vm;
    FailureDomainId domain;
    Revision revision;
    bool ready = false;
    bool reader = false;
    bool draining = false;
    double flows = 0;
    double running = 0;
    double forwarded = 0;
    double answered = 0;
    BurnSample burn;
};

/// @brief Reads the document in force from one process.
/// @return the store, or the error of the call
[[nodiscard]] Result<ConfigStore> fetchStore(const Endpoint &process);

/// @brief Asks one process for its status. An unreachable one is reported, not an error.
[[nodiscard]] ProcessStatus fetchStatus(const Endpoint &process);

/// @brief Asks a steering process what it knows of one flow.
/// @return the process's JSON object, or the error of the call
[[nodiscard]] Result<std::string> fetchFlow(const Endpoint &process, const FlowKey &flow);

/// @brief Every process that the document and the given list name, each once.
[[nodiscard]] std::vector<Endpoint> processesOf(const ConfigStore &store,
                                                const std::vector<Endpoint> &given);

} // namespace bergamotglade
