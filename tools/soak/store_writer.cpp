#include "store_writer.hpp"

namespace bergamotglade::soak {

namespace {

constexpr Millis CopyInterval {500};
constexpr std::size_t CopiesMax = 10;
/// A writer notices after this time, at the earliest and at the latest, that its write is lost.
constexpr Millis RepeatMin {200};
constexpr Millis RepeatMax {1500};

} // namespace

StoreWriter::StoreWriter(standins::Store &store)
    : m_store(store)
{ }

void StoreWriter::put(const std::string &key, const std::string &value)
{
    m_written[key] = value;
    m_store.put(key, value);
}

void StoreWriter::remove(const std::string &key)
{
    m_written[key] = std::nullopt;
    m_store.remove(key);
}

bool StoreWriter::holds(const standins::StoreCopy &contents, const std::string &key,
                        const std::optional<std::string> &value)
{
    const auto item = contents.items.find(key);
    const bool exists = item != contents.items.end() && !item->second.deleted;
    return exists == value.has_value() && (!exists || item->second.value == *value);
}

Millis StoreWriter::restore(Millis age, Random &random, Instant now)
{
    if (m_copies.empty()) {
        return Millis(0);
    }
    while (m_copies.size() > 1 && now - m_copies.back().takenAt < age) {
        m_copies.pop_back();
    }
    const Copy copy = m_copies.back();
    m_store.restore(copy.contents);
    for (const auto &[key, value] : m_written) {
        if (!holds(copy.contents, key, value)) {
            const auto range = static_cast<std::uint64_t>((RepeatMax - RepeatMin).count());
            const Millis delay =
                RepeatMin + Millis(static_cast<std::int64_t>(randomBelow(random, range)));
            m_repeats.emplace(now + delay, key);
        }
    }
    return now - copy.takenAt;
}

void StoreWriter::onTick(Instant now)
{
    while (!m_repeats.empty() && m_repeats.begin()->first <= now) {
        const std::string key = m_repeats.begin()->second;
        m_repeats.erase(m_repeats.begin());
        const auto &value = m_written.at(key);
        // The writer may have written something else meanwhile.
        if (!holds(m_store.copy(), key, value)) {
            value ? m_store.put(key, *value) : m_store.remove(key);
        }
    }
    if (m_copies.empty() || now - m_copies.back().takenAt >= CopyInterval) {
        m_copies.push_back({now, m_store.copy()});
        if (m_copies.size() > CopiesMax) {
            m_copies.pop_front();
        }
    }
}

} // namespace bergamotglade::soak
