/// @file
/// Request log of a flow's owner; ensures that non-idempotent requests run at most once.
#pragma once

#include <bergamotglade/detail/request/message.hpp>

#include <map>
#include <memory>

namespace bergamotglade {

/// State of a request at its owner.
enum class LedgerState : std::uint8_t {
    Queued, ///< waits for a free slot of the concurrency limit
    Running, ///< sent to the upstream, not yet answered
    Answered, ///< answered by the upstream; the answer is stored
    NotRun, ///< refused before it was sent to the upstream
    Unknown, ///< may have run; no answer is stored
    Lent, ///< idempotent, delegated to a less loaded agent
};

/// One request received by the owner.
struct LedgerEntry
{
    LedgerState state = LedgerState::Queued;
    bool idempotent = false;
    /// Time from which the entry may be removed.
    Instant expires;
    /// In state Lent: time from which the request may be run again.
    Instant retryAt;
    /// The stored answer, in state Answered.
    std::shared_ptr<const Answer> answer;
};

/// Requests of one flow. A non-idempotent request that has no entry is never run if its sequence
/// number is at or below the watermark, because its entry may have been removed.
class Ledger
{
public:
    /// How to handle an attempt.
    enum class Verdict : std::uint8_t {
        Run, ///< run the request
        InProgress, ///< the request is queued, running or lent
        Stored, ///< return the stored answer
        NotRun, ///< the request was refused before and must not run
        Unknown ///< the request may have run and must not run again
    };

    /// @brief Decides how to handle an attempt; for Run, adds the request in state Queued.
    /// @param sequence sequence number of the request in its flow
    /// @param idempotent whether the request may safely run more than once
    /// @param expires time from which the entry may be removed; after the request's deadline
    /// @complexity logarithmic in the flow's entries
    Verdict begin(RequestSequence sequence, bool idempotent, Instant expires, Instant now);
    /// @brief Records that an idempotent request was delegated to another agent.
    void lend(RequestSequence sequence, Instant expires, Instant retryAt);

    void setRunning(RequestSequence sequence);
    /// @brief Records the outcome of a queued or running request. A non-idempotent one does not run
    /// again.
    void finish(RequestSequence sequence, LedgerState state,
                std::shared_ptr<const Answer> answer = nullptr);

    [[nodiscard]] const LedgerEntry *find(RequestSequence sequence) const;
    /// @brief Removes expired entries and advances the watermark.
    /// @return size of the removed answers in bytes
    std::size_t expire(Instant now);
    /// @brief Whether any request is queued or running.
    [[nodiscard]] bool isBusy() const noexcept { return m_openCount > 0; }
    [[nodiscard]] bool empty() const noexcept { return m_entries.empty(); }
    [[nodiscard]] RequestSequence watermark() const noexcept { return m_watermark; }
    [[nodiscard]] const std::map<RequestSequence, LedgerEntry> &entries() const noexcept
    {
        return m_entries;
    }

    /// @brief Replaces the contents with a ledger received in a hand-over.
    void restore(RequestSequence watermark, std::map<RequestSequence, LedgerEntry> entries);

private:
    std::map<RequestSequence, LedgerEntry> m_entries;
    RequestSequence m_watermark;
    std::uint32_t m_openCount = 0; ///< number of queued and running requests
};

} // namespace bergamotglade
