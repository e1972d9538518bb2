#include <bergamotglade/detail/dissemination/view_confirmation.hpp>

#include <algorithm>

namespace bergamotglade {

ViewConfirmation::ViewConfirmation(const ViewConfirmationSettings &settings,
                                   ViewConfirmationHooks hooks)
    : m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_nextNumber(settings.firstNumber)
{ }

void ViewConfirmation::request(Instant now)
{
    m_requestedAt = now;
    advance(now);
}

void ViewConfirmation::advance(Instant now)
{
    const bool isRequested =
        m_requestedAt > m_confirmedSince && now - m_requestedAt <= m_settings.requestTtl;
    if (!m_waitingQueries.empty() || (isRequested && m_hooks.isReader())) {
        startRead(now, m_settings.readInterval);
    } else if (isRequested) {
        queryReader(now);
    }
}

void ViewConfirmation::queryReader(Instant now)
{
    if (m_sentQuery && now - m_sentQuery->sentAt < m_settings.queryTimeout) {
        return;
    }
    const std::vector<Endpoint> readers = m_hooks.readers();
    if (m_sentQuery) {
        ++m_counters.queriesUnanswered;
        ++m_nextReader;
    }
    if (m_sentQuery || readers.empty()) {
        startRead(now, m_settings.directReadInterval);
    }
    m_sentQuery.reset();
    if (!readers.empty()) {
        m_sentQuery = SentQuery {m_nextNumber++, now};
        ++m_counters.queriesSent;
        m_hooks.sendQuery(readers[m_nextReader % readers.size()],
                          {m_settings.self, m_sentQuery->number});
    }
}

void ViewConfirmation::startRead(Instant now, Millis interval)
{
    if (m_isReading || now - m_readStartedAt < interval) {
        return;
    }
    m_isReading = true;
    m_readStartedAt = now;
    m_readQueries = std::move(m_waitingQueries);
    m_waitingQueries.clear();
    ++m_counters.reads;
    m_hooks.readPlatform();
}

void ViewConfirmation::onQuery(const ConfirmationQuery &query, Instant now)
{
    if (m_waitingQueries.size() < m_settings.waitingQueriesMax) {
        m_waitingQueries.push_back(query);
    }
    advance(now);
}

void ViewConfirmation::onAnswer(const ConfirmationAnswer &answer)
{
    if (!m_sentQuery || m_sentQuery->number != answer.number) {
        return;
    }
    m_pending = PendingConfirmation {answer.revision, m_sentQuery->sentAt};
    m_sentQuery.reset();
    onRevisionChange();
}

void ViewConfirmation::onRead(Revision upTo, Instant now)
{
    m_isReading = false;
    for (const ConfirmationQuery &query : m_readQueries) {
        m_hooks.sendAnswer(query.sender, {m_settings.self, query.number, upTo});
    }
    m_readQueries.clear();
    if (m_hooks.revision() >= upTo) {
        confirm(m_readStartedAt);
    }
    advance(now);
}

void ViewConfirmation::onReadFailed(Instant now)
{
    m_isReading = false;
    m_failedReadStartedAt = m_readStartedAt;
    // Without an answer the processes that asked try another way.
    m_readQueries.clear();
    advance(now);
}

void ViewConfirmation::confirm(Instant since)
{
    if (since > m_confirmedSince) {
        m_confirmedSince = since;
        m_hooks.onConfirmed();
    }
}

void ViewConfirmation::onRevisionChange()
{
    if (m_pending && m_hooks.revision() >= m_pending->revision) {
        const Instant since = m_pending->since;
        m_pending.reset();
        confirm(since);
    }
}

} // namespace bergamotglade
