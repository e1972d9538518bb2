/// @file
/// Settings of the daemons and the loaders of their settings files.
#pragma once

#include <bergamotglade/detail/config/document.hpp>
#include <bergamotglade/detail/node/agent_node.hpp>

#include <optional>
#include <string>

namespace bergamotglade {

/// Log verbosity, from least to most.
enum class LogLevel : std::uint8_t { Error, Info, Debug };

/// Settings that both daemons share.
struct CommonSettings
{
    /// Name of this VM in the status and, without steering, in the VM list of the platform.
    VmId vm;
    FailureDomainId domain;
    Endpoint listen; ///< UDP and TCP on one port; with port 0 the kernel chooses it
    Endpoint platform; ///< HTTP address of the platform, which holds the configuration
    /// Processes contacted at the start; source of the configuration while the platform is down.
    std::vector<Endpoint> peers;
    bool peersAtOwnPort = false; ///< replace the ports of `peers` by the listen port
    LogLevel logLevel = LogLevel::Info;
    Millis stopTimeout {20'000}; ///< longest duration of a graceful stop
    bool faultInjection = false; ///< accept fault injection on the control port; for tests only
};

/// Settings of connection steering, in which the processes exchange packets of the platform instead
/// of messages of their own format.
struct SteeringDaemonSettings
{
    Endpoint packets; ///< UDP: packets from callers and from other processes
    Endpoint ready; ///< HTTP: readiness of the process; no server if unset
    Endpoint fromUpstream; ///< UDP: packets from the upstream; agents only
    Millis flowMax {60'000}; ///< maximum lifetime of a flow
    /// Longest time that a watch waits for a change. The reply to a watch confirms that the reader,
    /// the process that sent the watch, has the current revision. This time therefore bounds the
    /// age of the confirmation while the platform answers.
    Millis watchTime {500};
    /// The whole system starts for the first time: no flow is older than this process.
    bool isFirstStart = false;
    /// Rate of the outgoing link of a balancer in Mbit/s; 0 if it is not limited. Agents ignore it.
    double linkMbps = 0;
};

struct BalancerSettings
{
    CommonSettings common;
    std::optional<SteeringDaemonSettings> steering;
    bool uniform = false; ///< ignore weights, as a baseline for comparisons
};

struct AgentDaemonSettings
{
    CommonSettings common;
    std::optional<SteeringDaemonSettings> steering;
    AgentSettings agent;
    /// Upstream on the same machine as the agent: HTTP over TCP, or packets over UDP with steering.
    Endpoint upstreamAddress;
};

/// @brief Reads a whole file into memory.
/// @return its bytes, or ErrorCode::Io
[[nodiscard]] Result<std::string> readFile(const std::string &path);

/// @brief Reads and checks a settings file.
/// @param inForce settings of the running process; they replace invalid figures of the platform
/// (flowMax, linkMbps), which are warnings
/// @return the settings unless a finding is an error, and all findings
[[nodiscard]] CheckResult<BalancerSettings>
loadBalancerSettings(const std::string &path, const SteeringDaemonSettings &inForce = {});
[[nodiscard]] CheckResult<AgentDaemonSettings>
loadAgentSettings(const std::string &path, const SteeringDaemonSettings &inForce = {});

} // namespace bergamotglade
