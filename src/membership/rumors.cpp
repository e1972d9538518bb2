#include <bergamotglade/detail/membership/rumors.hpp>

namespace bergamotglade {

namespace {

/// Number of times each process sends a rumor; about the logarithm of the size of a large fleet.
constexpr std::uint32_t SendsPerRumor = 12;

} // namespace

RumorTable::RumorTable(Endpoint self, Millis ttl)
    : m_self(self)
    , m_ttl(ttl)
{ }

void RumorTable::store(const Rumor &rumor, Instant now)
{
    m_rumors[rumor.subject] = {rumor, now, SendsPerRumor};
}

std::uint64_t RumorTable::nextCounter(const Endpoint &subject) const
{
    const auto found = m_rumors.find(subject);
    return found == m_rumors.end() ? 1 : found->second.rumor.counter + 1;
}

void RumorTable::markSuspect(const Endpoint &subject, Instant now)
{
    store({subject, nextCounter(subject), true, false}, now);
}

bool RumorTable::setLeaving(bool leaving, Instant now)
{
    if (m_leaving == leaving) {
        return false;
    }
    m_leaving = leaving;
    store({m_self, nextCounter(m_self), leaving, leaving}, now);
    return true;
}

void RumorTable::markAlive(const Endpoint &subject, Instant now)
{
    if (isSuspect(subject)) {
        store({subject, nextCounter(subject), false, false}, now);
    }
}

bool RumorTable::onRumor(const Rumor &rumor, Instant now)
{
    const auto found = m_rumors.find(rumor.subject);
    if (found != m_rumors.end() && found->second.rumor.counter >= rumor.counter) {
        return false;
    }
    // A rumor about this process is replaced by its own state with a higher counter.
    const bool aboutSelf = rumor.subject == m_self;
    store(aboutSelf ? Rumor {m_self, rumor.counter + 1, m_leaving, m_leaving} : rumor, now);
    return true;
}

bool RumorTable::isSuspect(const Endpoint &subject) const
{
    const auto found = m_rumors.find(subject);
    return found != m_rumors.end() && found->second.rumor.suspect;
}

bool RumorTable::isLeaving(const Endpoint &subject) const
{
    const auto found = m_rumors.find(subject);
    return found != m_rumors.end() && found->second.rumor.leaving;
}

std::vector<Rumor> RumorTable::takePending(std::size_t maxCount)
{
    std::vector<Rumor> rumors;
    for (auto &[subject, entry] : m_rumors) {
        if (rumors.size() == maxCount) {
            break;
        }
        if (entry.sendsLeft > 0) {
            --entry.sendsLeft;
            rumors.push_back(entry.rumor);
        }
    }
    return rumors;
}

void RumorTable::expire(Instant now)
{
    std::erase_if(m_rumors, [&](const auto &e) { return now - e.second.updatedAt > m_ttl; });
}

} // namespace bergamotglade
