#include "process.hpp"

#include <bergamotglade/detail/daemon/log.hpp>

#include <csignal>
#include <iostream>

namespace bergamotglade {

namespace {

constexpr const char *LoopName = "loop";

} // namespace

Process::Process(Millis stopTimeout, Millis tickInterval)
    : m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
    , m_timer(m_io)
    , m_supervisor("root", {},
                   [this](const std::string &why) {
                       logError("giving up: " + why);
                       finish(ExitCode::Failed);
                   })
    , m_stopTimeout(stopTimeout)
    , m_tickInterval(tickInterval)
{ }

void Process::setHooks(ProcessHooks hooks)
{
    m_hooks = std::move(hooks);
    m_supervisor.add({LoopName, m_hooks.start, m_hooks.stop});
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
        // An exception of any event restarts the role's part, not the process.
        m_supervisor.guard(LoopName, [this] { m_io.run(); });
    }
    m_supervisor.stop();
    return m_code;
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
        m_hooks.onTick(now);
        if (m_stopBy == Instant()) {
            return;
        }
        if (m_hooks.isDone()) {
            finish(ExitCode::Ok);
        } else if (now >= m_stopBy) {
            logError("stop timeout passed with work left");
            finish(ExitCode::Unfinished);
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
        m_hooks.onReload();
        return;
    }
    if (m_stopBy != Instant()) {
        logError("stopped by a second signal, with work left");
        finish(ExitCode::Unfinished);
        return;
    }
    const Instant now = Clock::now();
    logState("stopping");
    m_stopBy = now + m_stopTimeout;
    m_hooks.onStop(now);
}

void Process::reloadCommon(const CommonSettings &common)
{
    setLogLevel(common.logLevel);
    m_stopTimeout = common.stopTimeout;
    logState("settings reloaded: log_level, stop_timeout");
}

void Process::finish(ExitCode code)
{
    m_code = code;
    m_io.stop();
}

bool reportFindings(const Findings &findings)
{
    for (const Finding &finding : findings) {
        std::cerr << describe(finding) << '\n';
    }
    if (hasErrors(findings)) {
        std::cerr << "mend the settings and start again\n";
        return false;
    }
    return true;
}

} // namespace bergamotglade
