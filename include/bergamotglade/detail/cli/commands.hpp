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
    std::vector<Endpoint> processes; ///< processes to contact, usually the balancers
    std::string document; ///< directory with the files of a document
    bool json = false; ///< print JSON instead of text
    /// Deadline of `glade call`, and of requests to `glade front` that carry none.
    Millis deadline {2000};
    std::string body; ///< request body of `glade call`
    Endpoint listen; ///< listen address of `glade front`
};

/// Exit codes: 0 success, 1 a problem was found, 2 invalid usage or nothing could be read.
inline constexpr int CliOk = 0;
inline constexpr int CliProblemFound = 1;
inline constexpr int CliUsage = 2;

/// @brief `glade check --document DIR`: prints all findings of a document.
int checkCommand(const CliOptions &options, std::ostream &out, std::ostream &err);
/// @brief `glade explain SERVICE CALLER`: prints the candidate upstreams of a flow and why the
/// others are not among them.
int explainCommand(const CliOptions &options, const std::string &service, const std::string &caller,
                   std::ostream &out, std::ostream &err);
/// @brief `glade explain CALLER>SERVICE`: prints the state of a steered flow in the given
/// processes. CALLER>SERVICE is the id of the flow in their logs. Exit 1 if the flow is unknown to
/// all.
int explainFlowCommand(const CliOptions &options, const std::string &flow, std::ostream &out,
                       std::ostream &err);
/// @brief `glade status`: prints the state of every process; exit 1 if one is unreachable, not
/// ready or has an old revision.
int statusCommand(const CliOptions &options, std::ostream &out, std::ostream &err);
/// @brief `glade burn`: prints the burn rates; exit 0 within budget, 1 slow burn, 3 fast burn,
/// 2 nothing could be read.
int burnCommand(const CliOptions &options, std::ostream &out, std::ostream &err);
/// @brief `glade call SERVICE METHOD PATH`: sends a request; exit 0 answered, 3 not run or refused,
/// 4 unknown, 2 if it could not be sent.
int callCommand(const CliOptions &options, const std::string &service, const std::string &method,
                const std::string &path, std::ostream &out, std::ostream &err);
/// @brief `glade front`: an HTTP server for ordinary clients; runs until SIGTERM or SIGINT.
int frontCommand(const CliOptions &options, std::ostream &out, std::ostream &err);

} // namespace bergamotglade
