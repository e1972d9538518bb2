/// @file
/// Notices changes of a settings file.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>

#include <optional>
#include <string>

namespace bergamotglade {

/// Compares the contents of a settings file with those that are in force, at most once per
/// interval. The platform may rewrite the file without a signal.
class SettingsWatch
{
public:
    static constexpr Millis Interval {5000};

    /// @param path settings file, whose present contents count as in force
    explicit SettingsWatch(std::string path);

    /// @brief Whether the contents differ from those in force. If so, they count as in force from
    /// now on. A file that cannot be read is no change.
    /// @return false until the interval has passed since the last comparison
    [[nodiscard]] bool hasChanged(Instant now);
    /// @brief Counts the present contents as in force.
    void accept();

private:
    std::string m_path;
    std::optional<std::string> m_inForce; ///< absent if the file could not be read
    Instant m_nextCheckAt;
};

} // namespace bergamotglade
