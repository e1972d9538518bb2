/// @file
/// Settings files of the daemons.
#pragma once

#include <bergamotglade/detail/config/document.hpp>
#include <bergamotglade/detail/node/agent_node.hpp>

#include <optional>
#include <string>

namespace bergamotglade {

enum class LogLevel : std::uint8_t { Error, Info, Debug };

/// What both daemons need.
struct CommonSettings
{
    VmId vm;
    FailureDomainId domain;
    Endpoint listen; ///< UDP for packets and TCP for control; port 0 lets the kernel choose
    Endpoint platform; ///< the configuration service
    std::vector<Endpoint> peers; ///< asked while the platform is down
    bool peersAtOwnPort = false; ///< peers listen at this process's port, whatever theirs says
    LogLevel logLevel = LogLevel::Info;
    Millis stopTimeout {20'000}; ///< longest graceful stop
    bool faults = false; ///< accept fault injection on the control port; for tests only
};

/// Connection steering: packets of a platform in place of the product's own messages.
struct SteeringDaemonSettings
{
    Endpoint packets; ///< UDP: packets of callers, and those that processes pass on
    Endpoint ready; ///< TCP: answers whether the process takes packets
    Endpoint fromUpstream; ///< UDP: packets of the upstream; agents only
    Millis flowMax {60'000}; ///< oldest flow that is kept
    Millis watchTime {500}; ///< longest wait of a watch; the age of a reader's confirmation
};

struct BalancerSettings
{
    CommonSettings common;
    std::optional<SteeringDaemonSettings> steering;
    bool uniform = false; ///< baseline: ignore weights
};

struct AgentDaemonSettings
{
    CommonSettings common;
    std::optional<SteeringDaemonSettings> steering;
    AgentSettings agent;
    Endpoint upstreamAddress; ///< the upstream beside the agent, HTTP over TCP
};

/// @brief Reads a whole file.
/// @return its bytes, or ErrorCode::Io
[[nodiscard]] Result<std::string> readFile(const std::string &path);

/// @brief Reads and checks a settings file; all findings come at once.
[[nodiscard]] Checked<BalancerSettings> loadBalancerSettings(const std::string &path);
[[nodiscard]] Checked<AgentDaemonSettings> loadAgentSettings(const std::string &path);

} // namespace bergamotglade
