/// @file
/// Entry points of the daemons' programs.
#pragma once

#include <bergamotglade/detail/daemon/platform_adapter.hpp>

#include <string>

namespace bergamotglade {

/// Exit codes of the daemons.
enum class ExitCode : int {
    Ok = 0,
    BadSettings = 1, ///< findings were printed
    Usage = 2,
    Failed = 3, ///< could not start, or gave up after repeated failures
    Unfinished = 4, ///< the stop timeout passed with work left
};

/// @brief Runs a balancer until a signal stops it.
/// @param settingsPath YAML file; a section `steering` makes it steer connections
/// @param adapter translates the platform of steered connections
ExitCode runBalancer(const std::string &settingsPath, const PlatformAdapter &adapter = {});
/// @brief Runs an agent until a signal stops it and its flows are handed over or have ended.
ExitCode runAgent(const std::string &settingsPath, const PlatformAdapter &adapter = {});

} // namespace bergamotglade
