/// @file
/// The part of a daemon that is independent of its role: event loop, signals, supervisor and ticks.
#pragma once

#include <bergamotglade/detail/daemon/daemon.hpp>
#include <bergamotglade/detail/daemon/settings.hpp>
#include <bergamotglade/detail/daemon/settings_watch.hpp>
#include <bergamotglade/detail/daemon/supervisor.hpp>

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bergamotglade {

/// Tick intervals. Steering uses the shorter one because its ticks check whether upstreams answer
/// in time: AgentSteering::onTick() must be called at least every 20 ms.
inline constexpr Millis TickInterval {50};
inline constexpr Millis SteeringTickInterval {20};

/// @brief Prints the findings of a settings file to standard error.
/// @return whether none of them is an error
bool reportFindings(const Findings &findings);

/// Callbacks of a role.
struct ProcessHooks
{
    /// Opens the resources of the role; called again after a failure of the role.
    std::function<Result<void>()> start;
    std::function<void()> stop;
    std::function<void(Instant)> onTick;
    /// Begins a graceful stop.
    std::function<void(Instant)> onStop;
    /// Whether the graceful stop has no work left to wait for.
    std::function<bool()> isStopComplete;
    /// Reloads the settings on SIGHUP, or when their file has changed.
    std::function<void()> onReload;
};

/// Runs a role until SIGTERM or SIGINT, and after that until its graceful stop is complete or the
/// stop timeout expires.
class Process
{
public:
    explicit Process(std::string settingsPath, Millis stopTimeout,
                     Millis tickInterval = TickInterval);

    [[nodiscard]] boost::asio::io_context &io() noexcept { return m_io; }
    /// @brief Sets the callbacks of the role and adds it to the supervisor.
    void setHooks(ProcessHooks hooks);
    /// @brief Applies the settings that can change at run time, log level and stop timeout, unless
    /// the file has errors.
    template <typename Settings>
    void reload(const CheckResult<Settings> &checked)
    {
        if (reportFindings(checked.findings)) {
            reloadCommon(checked.value->common);
        }
    }
    /// @brief Starts the role and runs the event loop until the stop.
    ExitCode run();

private:
    void reloadCommon(const CommonSettings &common);
    void scheduleTick();
    void waitForSignal();
    void onSignal(int signal);
    void exitWith(ExitCode code);

    boost::asio::io_context m_io {1};
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    Supervisor m_supervisor;
    ProcessHooks m_hooks;
    SettingsWatch m_settingsWatch;
    Millis m_stopTimeout;
    Millis m_tickInterval;
    Instant m_stopDeadline; ///< default value until the first stop signal
    ExitCode m_exitCode = ExitCode::Ok;
};

} // namespace bergamotglade
