#include "process.hpp"

#include <bergamotglade/detail/daemon/log.hpp>

#include <csignal>
#include <iostream>

namespace bergamotglade {

namespace {

constexpr const char *RoleName = "role";

} // namespace

Process::Process(std::string settingsPath, Millis stopTimeout, Millis tickInterval)
    : m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
    , m_timer(m_io)
    , m_supervisor("root", {},
                   [this](const std::string &reason) {
                       logError("unrecoverable failure, exiting: " + reason);
                       exitWith(ExitCode::Failed);
                   })
    , m_settingsWatch(std::move(settingsPath))
    , m_stopTimeout(stopTimeout)
    , m_tickInterval(tickInterval)
{ }

void Process::setHooks(ProcessHooks hooks)
{
    m_hooks = std::move(hooks);
    m_supervisor.add({RoleName, m_hooks.start, m_hooks.stop});
}

ExitCode Process::run()
{
    const auto started = m_supervisor.start();
    if (!started) {
        logError(describe(started.error()));
        return ExitCode::Failed;
    }
    waitForSignal();
    scheduleTick();
    while (!m_io.stopped()) {
        // An exception in an event handler restarts the role, not the process.
        m_supervisor.runGuarded(RoleName, [this] { m_io.run(); });
    }
    m_supervisor.stop();
    return m_exitCode;
}

void Process::scheduleTick()
{
    m_timer.expires_after(m_tickInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        scheduleTick();
        const Instant now = Clock::now();
        if (m_settingsWatch.hasChanged(now)) {
            m_hooks.onReload();
        }
        m_hooks.onTick(now);
        if (m_stopDeadline == Instant()) {
            return;
        }
        if (m_hooks.isStopComplete()) {
            exitWith(ExitCode::Ok);
        } else if (now >= m_stopDeadline) {
            logError("stop timeout expired with unfinished work");
            exitWith(ExitCode::Unfinished);
        }
    });
}

void Process::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (!error) {
            onSignal(signal);
            waitForSignal();
        }
    });
}

void Process::onSignal(int signal)
{
    if (signal == SIGHUP) {
        m_settingsWatch.accept();
        m_hooks.onReload();
        return;
    }
    if (m_stopDeadline != Instant()) {
        logError("second stop signal received, exiting with unfinished work");
        exitWith(ExitCode::Unfinished);
        return;
    }
    const Instant now = Clock::now();
    logInfo("stopping");
    m_stopDeadline = now + m_stopTimeout;
    m_hooks.onStop(now);
}

void Process::reloadCommon(const CommonSettings &common)
{
    setLogLevel(common.logLevel);
    m_stopTimeout = common.stopTimeout;
    logInfo("settings reloaded: log_level and stop_timeout are in effect");
}

void Process::exitWith(ExitCode code)
{
    m_exitCode = code;
    m_io.stop();
}

bool reportFindings(const Findings &findings)
{
    for (const Finding &finding : findings) {
        std::cerr << describe(finding) << '\n';
    }
    if (hasErrors(findings)) {
        std::cerr << "settings rejected: correct the errors above\n";
        return false;
    }
    return true;
}

} // namespace bergamotglade
