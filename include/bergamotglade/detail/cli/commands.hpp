/// @file
/// The commands of the `glade` program. Each returns the program's exit code.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>
#include <bergamotglade/detail/core/endpoint.hpp>
#include <bergamotglade/detail/core/ids.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace bergamotglade {

/// Options shared by the commands.
struct CliOptions
{
    std::vector<Endpoint> at; ///< processes of the system, usually the balancers
    std::string document; ///< directory of a document
    bool json = false;
    Millis deadline {2000};
    std::string body;
    Endpoint listen;
};

/// Exit codes: 0 fine, 1 something was found, 2 wrong use or nothing could be read.
inline constexpr int CliOk = 0;
inline constexpr int CliFound = 1;
inline constexpr int CliUsage = 2;

/// @brief `glade check --document DIR`: all findings of a document.
int checkCommand(const CliOptions &options, std::ostream &out, std::ostream &err);
/// @brief `glade explain SERVICE CALLER`: where a flow goes and why.
int explainCommand(const CliOptions &options, const std::string &service, const std::string &caller,
                   std::ostream &out, std::ostream &err);
/// @brief `glade explain CALLER>SERVICE`: what processes know of a steered flow, by the id in their
/// logs. Exit 1 when none of them knows it.
int explainFlowCommand(const CliOptions &options, const std::string &flow, std::ostream &out,
                       std::ostream &err);
/// @brief `glade status`: every process; exit 1 when one is unreachable or behind.
int statusCommand(const CliOptions &options, std::ostream &out, std::ostream &err);
/// @brief `glade burn`: exit 0 within budget, 1 slow burn, 3 fast burn, 2 nothing could be read.
int burnCommand(const CliOptions &options, std::ostream &out, std::ostream &err);
/// @brief `glade call SERVICE METHOD PATH`: exit 0 answered, 3 not run, 4 unknown.
int callCommand(const CliOptions &options, const std::string &service, const std::string &method,
                const std::string &path, std::ostream &out, std::ostream &err);
/// @brief `glade front`: an HTTP server for ordinary clients; runs until SIGTERM or SIGINT.
int frontCommand(const CliOptions &options, std::ostream &out, std::ostream &err);

} // namespace bergamotglade
