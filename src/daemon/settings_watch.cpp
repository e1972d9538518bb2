#include <bergamotglade/detail/daemon/settings_watch.hpp>

#include <bergamotglade/detail/daemon/settings.hpp>

namespace bergamotglade {

SettingsWatch::SettingsWatch(std::string path)
    : m_path(std::move(path))
{
    accept();
}

bool SettingsWatch::hasChanged(Instant now)
{
    if (now < m_nextCheckAt) {
        return false;
    }
    m_nextCheckAt = now + Interval;
    auto contents = readFile(m_path);
    if (!contents || contents.value() == m_inForce) {
        return false;
    }
    m_inForce = std::move(contents.value());
    return true;
}

void SettingsWatch::accept()
{
    auto contents = readFile(m_path);
    if (contents) {
        m_inForce = std::move(contents.value());
    }
}

} // namespace bergamotglade
