/// @file
/// Entry points of the daemon programs.
#pragma once

#include <bergamotglade/detail/daemon/platform_adapter.hpp>

#include <string>

namespace bergamotglade {

/// Exit codes of the daemons.
enum class ExitCode : int {
    Ok = 0,
    BadSettings = 1, ///< the settings file has errors; the findings were printed
    Usage = 2,
    Failed = 3, ///< could not start, or could not recover from a failure
    Unfinished = 4, ///< exited with unfinished work: stop timeout or second signal
};

/// @brief Runs a balancer until SIGTERM or SIGINT stops it.
/// @param settingsPath YAML file; with a section `steering` the balancer steers connections, see
/// SteeringDaemonSettings
/// @param adapter packet codec and configuration source of the platform; used for steering only
ExitCode runBalancer(const std::string &settingsPath, const PlatformAdapter &adapter = {});
/// @brief Runs an agent until SIGTERM or SIGINT stops it and its flows are handed over or have
/// ended, or the stop timeout expires. Parameters as runBalancer().
ExitCode runAgent(const std::string &settingsPath, const PlatformAdapter &adapter = {});

} // namespace bergamotglade
