#include "child_process.hpp"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <thread>

extern char **environ; // NOLINT(readability-redundant-declaration)

namespace bergamotglade::scenario {

namespace {

constexpr Millis ReadyTimeout {15'000};
constexpr Millis PollInterval {5};
constexpr int SignalExitCodeBase = 128;
/// Log event by which a daemon with a `steering` section reports its start. It prints no line
/// `ready ADDRESS`, as its addresses are fixed in its settings.
constexpr std::string_view StartedEvent = R"("event":"started")";

/// Reads one line from a pipe; returns an incomplete line on end of file or after ReadyTimeout.
std::string readLine(int fd)
{
    std::string line;
    const Instant deadline = Clock::now() + ReadyTimeout;
    while (Clock::now() < deadline) {
        pollfd descriptor {fd, POLLIN, 0};
        if (poll(&descriptor, 1, static_cast<int>(PollInterval.count())) <= 0) {
            continue;
        }
        char byte = 0;
        if (read(fd, &byte, 1) != 1 || byte == '\n') {
            break;
        }
        line += byte;
    }
    return line;
}

} // namespace

Result<std::unique_ptr<ChildProcess>> ChildProcess::start(const std::string &program,
                                                          const std::vector<std::string> &arguments,
                                                          const std::string &logFile)
{
    std::array<int, 2> pipeEnds {};
    if (pipe2(pipeEnds.data(), O_CLOEXEC) != 0) {
        return Error {ErrorCode::Io, "cannot create a pipe for the output of a child process"};
    }
    std::vector<std::string> commandLine {program};
    commandLine.insert(commandLine.end(), arguments.begin(), arguments.end());
    std::vector<char *> argv;
    argv.reserve(commandLine.size() + 1);
    for (std::string &argument : commandLine) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    constexpr int LogMode = 0644;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, logFile.c_str(),
                                     O_CREAT | O_WRONLY | O_APPEND, LogMode);
    // A child that inherits a listening socket keeps its port in use.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::unique_ptr<ChildProcess> child(new ChildProcess);
    const int spawnError =
        posix_spawn(&child->m_pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipeEnds[1]);
    if (spawnError != 0) {
        close(pipeEnds[0]);
        child->m_pid = -1;
        return Error {ErrorCode::Io, "cannot start " + program};
    }
    // Log lines may precede the line that reports readiness.
    std::string line;
    constexpr int LinesBeforeReadyMax = 20;
    const auto reportsReady = [&] {
        return line.starts_with("ready ") || line.find(StartedEvent) != std::string::npos;
    };
    for (int i = 0; i < LinesBeforeReadyMax && !reportsReady(); ++i) {
        line = readLine(pipeEnds[0]);
    }
    // A separate thread drains the pipe into the log file, so that the child never blocks on
    // output.
    std::thread([fd = pipeEnds[0], logFile] {
        const int log = open(logFile.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
        std::array<char, 4096> buffer {};
        for (ssize_t n = 0; (n = read(fd, buffer.data(), buffer.size())) > 0;) {
            if (log >= 0 && write(log, buffer.data(), static_cast<std::size_t>(n)) < 0) {
                break;
            }
        }
        close(log);
        close(fd);
    }).detach();
    const auto endpoint = Endpoint::parse(line.substr(line.find(' ') + 1));
    if (!reportsReady() || (line.starts_with("ready ") && !endpoint)) {
        return Error {ErrorCode::Io, program + " did not become ready; see " + logFile};
    }
    if (endpoint) {
        child->m_endpoint = endpoint.value();
    }
    return child;
}

ChildProcess::~ChildProcess()
{
    if (m_pid > 0) {
        kill(m_pid, SIGCONT);
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

void ChildProcess::signal(int number) const
{
    if (m_pid > 0) {
        kill(m_pid, number);
    }
}

int ChildProcess::wait(Millis timeout)
{
    const Instant deadline = Clock::now() + timeout;
    while (m_pid > 0) {
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : SignalExitCodeBase + WTERMSIG(status);
        }
        if (Clock::now() >= deadline) {
            return -1;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return 0;
}

} // namespace bergamotglade::scenario
