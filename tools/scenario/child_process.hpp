/// @file
/// Child processes of the scenario runner and the soak test.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>
#include <bergamotglade/detail/core/endpoint.hpp>

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

namespace bergamotglade::scenario {

/// A running program whose output goes to a log file; killed by the destructor.
class ChildProcess
{
public:
    /// @brief Starts a program and waits until it reports readiness: a line `ready ADDRESS` or the
    /// log event `started`.
    /// @param program path of the program
    /// @param arguments without the program's name
    /// @param logFile receives standard error and, after the line that reports readiness,
    /// standard output
    /// @return the process, or ErrorCode::Io if it cannot be started or does not report readiness
    static Result<std::unique_ptr<ChildProcess>> start(const std::string &program,
                                                       const std::vector<std::string> &arguments,
                                                       const std::string &logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// @brief Address of the line `ready ADDRESS`; unset if readiness was reported by the log
    /// event.
    [[nodiscard]] Endpoint endpoint() const noexcept { return m_endpoint; }
    void signal(int number) const;
    /// @brief Waits for the process to end.
    /// @return the exit code, 128 plus the number of the signal that ended it, -1 if it still runs
    /// after the timeout, or 0 if it has been waited for already
    int wait(Millis timeout);
    [[nodiscard]] pid_t pid() const noexcept { return m_pid; }

private:
    ChildProcess() = default;

    pid_t m_pid = -1;
    Endpoint m_endpoint;
};

} // namespace bergamotglade::scenario
