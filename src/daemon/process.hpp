/// @file
/// The part of a daemon that does not depend on its role: event loop, signals, supervisor, ticks.
#pragma once

#include <bergamotglade/detail/daemon/daemon.hpp>
#include <bergamotglade/detail/daemon/settings.hpp>
#include <bergamotglade/detail/daemon/supervisor.hpp>

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bergamotglade {

/// Ticks of the message interface, and of steering, which times answers of upstreams by them.
inline constexpr Millis TickInterval {50};
inline constexpr Millis SteeringTickInterval {20};

/// @brief Prints the findings of a settings file; true when it can be used.
bool reportFindings(const Findings &findings);

/// What a role gives to its process.
struct ProcessHooks
{
    /// Opens what the role needs; called again when the role has failed.
    std::function<Result<void>()> start;
    std::function<void()> stop;
    std::function<void(Instant)> onTick;
    /// Asked to stop gracefully.
    std::function<void(Instant)> onStop;
    /// Whether nothing is left that a stop would cut.
    std::function<bool()> isDone;
    /// Asked to read what can be reloaded.
    std::function<void()> onReload;
};

/// Runs until SIGTERM or SIGINT, then until the role is done or the stop timeout passes.
class Process
{
public:
    explicit Process(Millis stopTimeout, Millis tickInterval = TickInterval);

    [[nodiscard]] boost::asio::io_context &io() noexcept { return m_io; }
    /// @brief Puts the role under the supervisor.
    void setHooks(ProcessHooks hooks);
    /// @brief Takes over what can change while running, unless the settings have errors.
    template <typename Settings>
    void reload(const Checked<Settings> &checked)
    {
        if (reportFindings(checked.findings)) {
            reloadCommon(checked.value->common);
        }
    }
    /// @brief Starts the supervisor's children and handles events until the stop.
    ExitCode run();

private:
    void reloadCommon(const CommonSettings &common);
    void scheduleTick();
    void waitForSignal();
    void onSignal(int signal);
    void finish(ExitCode code);

    boost::asio::io_context m_io {1};
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    Supervisor m_supervisor;
    ProcessHooks m_hooks;
    Millis m_stopTimeout;
    Millis m_tickInterval;
    Instant m_stopBy;
    ExitCode m_code = ExitCode::Ok;
};

} // namespace bergamotglade
