/// @file
/// Queries of the `glade` program to running processes.
#pragma once

#include <bergamotglade/detail/burn/burn.hpp>
#include <bergamotglade/detail/config/store.hpp>
#include <bergamotglade/detail/dissemination/dissemination.hpp>
#include <bergamotglade/detail/flow/flow_key.hpp>

#include <vector>

namespace bergamotglade {

/// Status reported by one process.
struct ProcessStatus
{
    Endpoint endpoint;
    bool reached = false; ///< whether it sent a valid status
    std::string error; ///< why it was not reached
    std::string role;
    VmId vm;
    FailureDomainId domain;
    Revision revision;
    bool ready = false;
    bool reader = false;
    bool draining = false;
    double flows = 0; ///< flows held
    double running = 0; ///< requests at the upstream of an agent
    double forwarded = 0; ///< by a balancer: datagrams forwarded since its start
    double answered = 0; ///< by an agent: requests answered or flows opened since its start
    BurnSample burn;
};

/// @brief Fetches the document in effect from one process.
/// @return the store, or the error of the call
[[nodiscard]] Result<ConfigStore> fetchStore(const Endpoint &process);

/// @brief Fetches the status of one process. If it is unreachable, the result has `reached` false
/// and the error.
[[nodiscard]] ProcessStatus fetchStatus(const Endpoint &process);

/// @brief Fetches the state of one flow from a balancer or agent that steers connections.
/// @return the process's JSON object, or the error of the call
[[nodiscard]] Result<std::string> fetchFlow(const Endpoint &process, const FlowKey &flow);

/// @brief All processes in the document and in the given list, without duplicates.
[[nodiscard]] std::vector<Endpoint> knownProcesses(const ConfigStore &store,
                                                   const std::vector<Endpoint> &given);

} // namespace bergamotglade
