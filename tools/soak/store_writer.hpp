/// @file
/// Writers of the stand-in store, who repeat what the store has lost.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>
#include <bergamotglade/detail/core/random.hpp>

#include <store.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace bergamotglade::soak {

/// Writes items, keeps copies of the store, and repeats lost writes after a restore.
class StoreWriter
{
public:
    /// @param store must outlive the writer
    explicit StoreWriter(standins::Store &store);

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /// @brief Restores the store from a copy of about the given age; each lost write is repeated
    /// after a random time.
    /// @return age of the copy used
    Millis restore(Millis age, Random &random, Instant now);
    /// @brief Takes copies and repeats the writes that are due.
    void onTick(Instant now);

private:
    struct Copy
    {
        Instant takenAt;
        standins::StoreCopy contents;
    };
    [[nodiscard]] static bool holds(const standins::StoreCopy &contents, const std::string &key,
                                    const std::optional<std::string> &value);

    standins::Store &m_store;
    std::deque<Copy> m_copies; ///< oldest first
    /// Last value of each key; none if the key was deleted.
    std::map<std::string, std::optional<std::string>> m_written;
    std::multimap<Instant, std::string> m_repeats; ///< keys to write again
};

} // namespace bergamotglade::soak
