/// @file
/// Supervisor tree: children are started in order, restarted on failure and stopped in
/// reverse order.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>
#include <bergamotglade/detail/core/error.hpp>

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace bergamotglade {

/// A part of a process under a supervisor. asChild() makes a supervisor the child of another one.
struct Child
{
    std::string name;
    std::function<Result<void>()> start;
    std::function<void()> stop;
};

/// Number of restarts allowed within a sliding time window.
struct RestartLimit
{
    std::size_t restarts = 5;
    Millis window {10'000};
};

/// Starts, restarts and stops the children of one level of the tree.
class Supervisor
{
public:
    /// Called when the restart limit is exceeded or a restart fails.
    using GiveUpHandler = std::function<void(const std::string &reason)>;

    Supervisor(std::string name, RestartLimit limit, GiveUpHandler giveUp);

    void add(Child child);
    /// @brief Starts all children in order. If one fails to start, those started before it are
    /// stopped.
    /// @return the error of that child, with the names of the supervisor and the child
    Result<void> start();
    /// @brief Stops all children in reverse order of their start.
    void stop();
    /// @brief Stops and restarts a failed child, or calls the give-up handler if the restart limit
    /// is exceeded or the restart fails.
    void onChildFailed(const std::string &child, const std::string &reason, Instant now);
    /// @brief Calls `event` on behalf of a child; an exception is treated as a failure of the
    /// child.
    void runGuarded(const std::string &child, const std::function<void()> &event);
    /// @brief Number of restarts so far.
    [[nodiscard]] std::uint64_t restarts() const noexcept { return m_restarts; }
    [[nodiscard]] Child asChild();

private:
    struct Entry
    {
        Child child;
        bool running = false;
    };

    std::string m_name;
    RestartLimit m_limit;
    GiveUpHandler m_giveUp;
    std::vector<Entry> m_children;
    std::deque<Instant> m_failures; ///< times of the failures within the window
    std::uint64_t m_restarts = 0;
};

} // namespace bergamotglade
