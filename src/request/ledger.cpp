#include <bergamotglade/detail/request/ledger.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

bool isOpen(LedgerState state)
{
    return state == LedgerState::Queued || state == LedgerState::Running;
}

Ledger::Verdict verdictOf(LedgerState state)
{
    switch (state) {
    case LedgerState::Queued:
    case LedgerState::Running:
    case LedgerState::Lent:
        return Ledger::Verdict::InProgress;
    case LedgerState::Answered:
        return Ledger::Verdict::Stored;
    case LedgerState::NotRun:
        return Ledger::Verdict::NotRun;
    case LedgerState::Unknown:
        return Ledger::Verdict::Unknown;
    }
    return Ledger::Verdict::Unknown;
}

} // namespace

Ledger::Verdict Ledger::begin(RequestSequence sequence, bool idempotent, Instant expires,
                              Instant now)
{
    const auto found = m_entries.find(sequence);
    if (found != m_entries.end()) {
        const Verdict verdict = verdictOf(found->second.state);
        const bool notCompleted = verdict == Verdict::Unknown || verdict == Verdict::NotRun;
        const bool lentTimedOut =
            found->second.state == LedgerState::Lent && now >= found->second.retryAt;
        const bool retriable = found->second.idempotent && (notCompleted || lentTimedOut);
        if (!retriable) {
            return verdict;
        }
        m_entries.erase(found);
    } else if (sequence <= m_watermark && !idempotent) {
        // The entry of this request or of a later one was removed, so this request may have run.
        return Verdict::Unknown;
    }
    m_entries[sequence] = {LedgerState::Queued, idempotent, expires, Instant(), nullptr};
    ++m_openCount;
    return Verdict::Run;
}

void Ledger::lend(RequestSequence sequence, Instant expires, Instant retryAt)
{
    m_entries[sequence] = {LedgerState::Lent, true, expires, retryAt, nullptr};
}

void Ledger::setRunning(RequestSequence sequence)
{
    const auto found = m_entries.find(sequence);
    if (found != m_entries.end() && found->second.state == LedgerState::Queued) {
        found->second.state = LedgerState::Running;
    }
}

void Ledger::finish(RequestSequence sequence, LedgerState state,
                    std::shared_ptr<const Answer> answer)
{
    const auto found = m_entries.find(sequence);
    if (found == m_entries.end() || !isOpen(found->second.state)) {
        return;
    }
    --m_openCount;
    found->second.state = state;
    found->second.answer = std::move(answer);
}

const LedgerEntry *Ledger::find(RequestSequence sequence) const
{
    const auto found = m_entries.find(sequence);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::size_t Ledger::expire(Instant now)
{
    std::size_t bytes = 0;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (isOpen(entry->second.state) || entry->second.expires > now) {
            ++entry;
            continue;
        }
        if (entry->second.answer) {
            bytes += entry->second.answer->body.size();
        }
        // Idempotent requests may run again after removal, so they do not advance the watermark.
        if (!entry->second.idempotent) {
            m_watermark = std::max(m_watermark, entry->first);
        }
        entry = m_entries.erase(entry);
    }
    return bytes;
}

void Ledger::restore(RequestSequence watermark, std::map<RequestSequence, LedgerEntry> entries)
{
    m_watermark = watermark;
    m_entries = std::move(entries);
    // Flows with queued or running requests are not handed over.
    m_openCount = 0;
}

} // namespace bergamotglade
