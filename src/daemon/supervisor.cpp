#include <bergamotglade/detail/daemon/supervisor.hpp>

#include <algorithm>
#include <exception>

namespace bergamotglade {

Supervisor::Supervisor(std::string name, RestartLimit limit, GiveUpHandler giveUp)
    : m_name(std::move(name))
    , m_limit(limit)
    , m_giveUp(std::move(giveUp))
{ }

void Supervisor::add(Child child)
{
    m_children.push_back({std::move(child), false});
}

Result<void> Supervisor::start()
{
    for (Entry &entry : m_children) {
        auto started = entry.child.start();
        if (!started) {
            stop();
            return Error {started.error().code,
                          m_name + '/' + entry.child.name + ": " + started.error().message};
        }
        entry.running = true;
    }
    return boost::outcome_v2::success();
}

void Supervisor::stop()
{
    for (auto entry = m_children.rbegin(); entry != m_children.rend(); ++entry) {
        if (entry->running) {
            entry->running = false;
            entry->child.stop();
        }
    }
}

void Supervisor::onChildFailed(const std::string &child, const std::string &reason, Instant now)
{
    const auto found = std::find_if(m_children.begin(), m_children.end(),
                                    [&](const Entry &e) { return e.child.name == child; });
    if (found == m_children.end() || !found->running) {
        return;
    }
    m_failures.push_back(now);
    while (now - m_failures.front() > m_limit.window) {
        m_failures.pop_front();
    }
    found->running = false;
    found->child.stop();
    const std::string failure = m_name + '/' + child + ": " + reason;
    if (m_failures.size() > m_limit.restarts) {
        m_giveUp(failure + "; restart limit exceeded: " + std::to_string(m_limit.restarts)
                 + " restarts within " + std::to_string(m_limit.window.count()) + " ms");
        return;
    }
    ++m_restarts;
    const auto started = found->child.start();
    if (!started) {
        m_giveUp(failure + "; restart failed: " + started.error().message);
        return;
    }
    found->running = true;
}

void Supervisor::runGuarded(const std::string &child, const std::function<void()> &event)
{
    try {
        event();
    } catch (const std::exception &error) {
        onChildFailed(child, error.what(), Clock::now());
    }
}

Child Supervisor::asChild()
{
    return {m_name, [this] { return start(); },
            [this] {
                stop();
            }};
}

} // namespace bergamotglade
