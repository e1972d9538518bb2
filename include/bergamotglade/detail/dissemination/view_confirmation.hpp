/// @file
/// Finds out whether a view contains all that the platform had acknowledged at a time.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>
#include <bergamotglade/detail/node/packet.hpp>

#include <functional>
#include <optional>
#include <vector>

namespace bergamotglade {

struct ViewConfirmationSettings
{
    Endpoint self;
    /// Number of the first query; differs from those of earlier runs of the process.
    std::uint64_t firstNumber = 1;
    /// Shortest interval between two reads of the platform that this process makes for others and
    /// for itself while it is a reader.
    Millis readInterval {200};
    /// A query without an answer is sent to the next reader after this, and the platform is read
    /// directly. Longer than readInterval, for which a reader may delay its answer.
    Millis queryTimeout {300};
    /// Shortest interval between two direct reads of a process that is not a reader.
    Millis directReadInterval {1000};
    /// A request that is not repeated within this time lapses.
    Millis requestTtl {250};
    std::size_t waitingQueriesMax = 16'384; ///< queries of other processes that wait for a read
};

/// Totals since the start of the process, exported as metrics.
struct ViewConfirmationCounters
{
    std::uint64_t queriesSent = 0;
    std::uint64_t queriesUnanswered = 0;
    std::uint64_t reads = 0; ///< reads of the platform, for this process and others
};

struct ViewConfirmationHooks
{
    std::function<void(const Endpoint &reader, const ConfirmationQuery &)> sendQuery;
    std::function<void(const Endpoint &process, const ConfirmationAnswer &)> sendAnswer;
    /// Reads what is newer than the view; answered by onRead() or onReadFailed().
    std::function<void()> readPlatform;
    /// Readers of the platform other than this process, preferred ones first.
    std::function<std::vector<Endpoint>()> readers;
    std::function<bool()> isReader;
    std::function<Revision()> revision; ///< of the view
    std::function<void()> onConfirmed;
};

/// State machine without I/O. The view contains all that the platform had acknowledged at a time if
/// a read that started later returned nothing that the view lacks. A process asks a reader, which
/// answers after such a read: many processes then need few reads, as after a failure that lets all
/// of them doubt at once. Without an answer it reads the platform itself.
class ViewConfirmation
{
public:
    ViewConfirmation(const ViewConfirmationSettings &settings, ViewConfirmationHooks hooks);

    /// @brief Requests a confirmation of the present; to be repeated until it has come.
    void request(Instant now);
    void onTick(Instant now) { advance(now); }
    void onQuery(const ConfirmationQuery &query, Instant now);
    void onAnswer(const ConfirmationAnswer &answer);
    /// @brief Handles the answer of readPlatform(), after it has been applied to the view.
    /// @param upTo revision of the platform
    void onRead(Revision upTo, Instant now);
    void onReadFailed(Instant now);
    /// @brief Records that a read that started at `since` returned nothing that the view lacks.
    void confirm(Instant since);
    /// @brief Call after a change of the revision of the view.
    void onRevisionChange();

    /// @brief Latest time for which the view is confirmed.
    [[nodiscard]] Instant confirmedSince() const noexcept { return m_confirmedSince; }
    /// @brief When the latest read that failed had started.
    [[nodiscard]] Instant failedReadStartedAt() const noexcept { return m_failedReadStartedAt; }
    [[nodiscard]] const ViewConfirmationCounters &counters() const noexcept { return m_counters; }

private:
    struct SentQuery
    {
        std::uint64_t number = 0;
        Instant sentAt;
    };
    /// Evidence that takes effect once the view has reached a revision.
    struct PendingConfirmation
    {
        Revision revision;
        Instant since;
    };

    void advance(Instant now);
    void queryReader(Instant now);
    void startRead(Instant now, Millis interval);

    ViewConfirmationSettings m_settings;
    ViewConfirmationHooks m_hooks;
    Instant m_requestedAt;
    Instant m_confirmedSince;
    std::optional<PendingConfirmation> m_pending;
    std::optional<SentQuery> m_sentQuery;
    std::uint64_t m_nextNumber;
    std::size_t m_nextReader = 0; ///< index among the readers
    std::vector<ConfirmationQuery> m_waitingQueries; ///< received after the latest read started
    std::vector<ConfirmationQuery> m_readQueries; ///< answered by the read under way
    bool m_isReading = false;
    Instant m_readStartedAt;
    Instant m_failedReadStartedAt;
    ViewConfirmationCounters m_counters;
};

} // namespace bergamotglade
