#include <bergamotglade/detail/caller/caller_node.hpp>

#include <algorithm>
#include <cmath>

namespace bergamotglade {

namespace {

/// Delay of the next attempt after a response "in progress" or "unknown".
constexpr Millis PollInterval {100};
/// The retry time-out as a multiple of the smoothed response time. A response that takes longer
/// counts as lost, and the request is sent again.
constexpr double RetryTimeoutFactor = 3;
/// Weight of a new sample in the smoothed response time.
constexpr double ResponseTimeSmoothing = 0.2;
/// Longest interval between opening requests, as a multiple of the shortest retry time-out.
constexpr double OpeningBackoffMax = 8;

} // namespace

CallerNode::CallerNode(CallerSettings settings, Send send)
    : m_settings(std::move(settings))
    , m_send(std::move(send))
{ }

void CallerNode::submit(Call call, Completion done, Instant now)
{
    const RequestSequence sequence = m_nextSequence;
    m_nextSequence = RequestSequence(m_nextSequence.value() + 1);
    m_settings.budget.onRequest();
    PendingCall pending;
    pending.call = std::move(call);
    pending.done = std::move(done);
    pending.started = now;
    pending.deadline = now + pending.call.deadline;
    pending.retryInterval = retryTimeout();
    const auto at = m_calls.emplace(sequence, std::move(pending)).first;
    sendAttempt(sequence, at->second, now);
}

void CallerNode::sendAttempt(RequestSequence sequence, PendingCall &pending, Instant now)
{
    const bool idempotent = isIdempotent(pending.call.method);
    if (!idempotent && !pending.boundOwner) {
        if (!m_owner) {
            sendOpeningRequest(now);
            pending.nextSend = m_nextOpeningAt;
            return;
        }
        pending.boundOwner = m_owner;
    }
    Request request;
    request.caller = m_settings.id;
    request.sequence = sequence;
    request.attempt = ++pending.attempts;
    request.remaining = pending.deadline - now;
    request.owner = idempotent ? m_owner : pending.boundOwner;
    pending.lastOwner = request.owner;
    request.service = m_settings.service;
    request.method = pending.call.method;
    request.target = pending.call.target;
    request.contentType = pending.call.contentType;
    request.body = pending.call.body;
    for (std::uint16_t i = 0; i < pending.partCount; ++i) {
        if (!pending.parts.contains(i)) {
            request.missingParts.push_back(i);
        }
    }
    ++pending.unanswered;
    ++m_counters.sent;
    pending.lastSend = now;
    pending.nextSend = now + pending.retryInterval;
    const Millis nextInterval(
        static_cast<std::int64_t>(pending.retryInterval.count() * m_settings.backoff));
    pending.retryInterval = std::min(nextInterval, m_settings.retryTimeoutMax);
    m_send(request);
}

Millis CallerNode::retryTimeout() const
{
    const Millis timeout(static_cast<std::int64_t>(m_responseMs * RetryTimeoutFactor));
    return std::clamp(timeout, m_settings.retryTimeoutMin, m_settings.retryTimeoutMax);
}

void CallerNode::recordResponseTime(PendingCall &pending, Instant now)
{
    // After a retry it is unknown which attempt was answered, so no sample is taken (Karn's
    // algorithm).
    const auto sample = static_cast<double>((now - pending.lastSend).count());
    if (pending.attempts == 1 && pending.unanswered == 1) {
        m_responseMs = m_responseMs == 0
            ? sample
            : m_responseMs + ResponseTimeSmoothing * (sample - m_responseMs);
    }
    pending.unanswered = 0;
}

void CallerNode::sendOpeningRequest(Instant now)
{
    if (now < m_nextOpeningAt) {
        return;
    }
    const double factor =
        std::min(OpeningBackoffMax, std::pow(m_settings.backoff, m_openingAttempts));
    const auto openingInterval =
        static_cast<std::int64_t>(m_settings.retryTimeoutMin.count() * factor);
    m_nextOpeningAt = now + Millis(openingInterval);
    ++m_openingAttempts;
    Request request;
    request.caller = m_settings.id;
    request.sequence = m_nextSequence;
    m_nextSequence = RequestSequence(m_nextSequence.value() + 1);
    request.service = m_settings.service;
    request.method = "OPTIONS";
    request.target = "*";
    request.opensOnly = true;
    ++m_counters.sent;
    m_send(request);
}

void CallerNode::updateOwner(const Response &response)
{
    if (!response.owner) {
        return;
    }
    if (!m_owner) {
        ++m_counters.opened;
        m_owner = response.owner;
        return;
    }
    // A hand-over keeps the nonce of the flow. Another nonce is that of a second flow, opened by a
    // duplicated opening request, and is ignored.
    const bool moved = m_owner->nonce == response.owner->nonce && *m_owner != *response.owner;
    if (moved) {
        ++m_counters.movedFlows;
        m_owner = response.owner;
    }
}

void CallerNode::dropOwner()
{
    if (m_owner) {
        ++m_counters.brokenFlows;
        m_owner.reset();
        m_openingAttempts = 0;
    }
}

bool CallerNode::ownerIsSilent(const PendingCall &pending) const
{
    return pending.unanswered >= m_settings.attemptsToReopen && m_owner
        && pending.lastOwner == m_owner;
}

void CallerNode::onResponse(const Response &response, Instant now)
{
    if (response.caller != m_settings.id) {
        ++m_counters.unexpectedResponses;
        return;
    }
    updateOwner(response);
    if (response.outcome == Outcome::Opened) {
        m_openingAttempts = 0;
        for (auto &[sequence, pending] : m_calls) {
            if (!isIdempotent(pending.call.method) && !pending.boundOwner) {
                sendAttempt(sequence, pending, now);
            }
        }
        return;
    }
    const auto at = m_calls.find(response.sequence);
    if (at == m_calls.end()) {
        ++m_counters.unexpectedResponses;
        return;
    }
    recordResponseTime(at->second, now);
    switch (response.outcome) {
    case Outcome::Answered:
        onPart(at, response, now);
        return;
    case Outcome::NotRun:
    case Outcome::Refused:
        onRefusal(at, response, now);
        return;
    case Outcome::Unknown:
        onUnknown(at, response, now);
        return;
    case Outcome::InProgress:
        at->second.nextSend = now + PollInterval;
        return;
    case Outcome::Opened:
        return;
    }
}

void CallerNode::onPart(Calls::iterator at, const Response &response, Instant now)
{
    PendingCall &pending = at->second;
    const bool valid = response.parts > 0 && response.part < response.parts;
    if (!valid) {
        ++m_counters.unexpectedResponses;
        return;
    }
    const bool isOtherRun =
        pending.answerHash != response.answerHash && m_settings.mechanisms.answerHash;
    if (isOtherRun || pending.partCount != response.parts) {
        // The answer is from another run of the request; parts of two runs must not be mixed.
        pending.parts.clear();
        pending.answerHash = response.answerHash;
        pending.partCount = response.parts;
    }
    pending.parts[response.part] = response.body;
    if (pending.parts.size() < pending.partCount) {
        // The other parts may be in transit; missing ones are requested after the interval.
        pending.retryInterval = retryTimeout();
        pending.nextSend = now + pending.retryInterval;
        return;
    }
    CallResult result;
    result.outcome = Outcome::Answered;
    result.answer.status = response.status;
    result.answer.contentType = response.contentType;
    for (const auto &[index, body] : pending.parts) {
        result.answer.body += body;
    }
    const bool isIntact = hashBytes(result.answer.body, response.status) == response.answerHash;
    if (!isIntact && m_settings.mechanisms.answerHash) {
        pending.parts.clear();
        pending.partCount = 0;
        ++m_counters.unexpectedResponses;
        return;
    }
    finish(at, std::move(result), now);
}

bool CallerNode::scheduleRetry(PendingCall &pending, Millis after, Instant now)
{
    if (now + after >= pending.deadline || !m_settings.budget.spend()) {
        return false;
    }
    ++m_counters.retries;
    pending.nextSend = now + after;
    return true;
}

void CallerNode::onRefusal(Calls::iterator at, const Response &response, Instant now)
{
    PendingCall &pending = at->second;
    const bool idempotent = isIdempotent(pending.call.method);
    if (response.outcome == Outcome::Refused && response.reason == "domain out") {
        dropOwner();
    }
    if (idempotent && scheduleRetry(pending, response.retryAfter, now)) {
        return;
    }
    if (!idempotent && response.outcome == Outcome::Refused) {
        // Only this attempt was refused. Until the deadline, onTick() sends the request again, or
        // opens the flow again if no owner has been assigned yet.
        return;
    }
    CallResult result;
    result.outcome = response.outcome;
    result.reason = response.reason;
    result.retryAfter = response.retryAfter;
    finish(at, std::move(result), now);
}

void CallerNode::onUnknown(Calls::iterator at, const Response &response, Instant now)
{
    PendingCall &pending = at->second;
    ++pending.unknownResponses;
    if (isIdempotent(pending.call.method)) {
        if (scheduleRetry(pending, PollInterval, now)) {
            return;
        }
    } else if (pending.unknownResponses < m_settings.unknownResponsesMax) {
        // The response may be from an agent to which the flow has not been handed over yet.
        pending.nextSend = now + PollInterval;
        return;
    }
    if (pending.boundOwner && pending.boundOwner == m_owner) {
        dropOwner();
    }
    CallResult result;
    result.outcome = Outcome::Unknown;
    result.reason = response.reason;
    finish(at, std::move(result), now);
}

void CallerNode::finish(Calls::iterator at, CallResult result, Instant now)
{
    const PendingCall pending = std::move(at->second);
    m_calls.erase(at);
    result.elapsed = now - pending.started;
    result.attempts = pending.attempts;
    pending.done(result);
}

void CallerNode::expire(Calls::iterator at, Instant now)
{
    const bool neverSent = !isIdempotent(at->second.call.method) && !at->second.boundOwner;
    if (ownerIsSilent(at->second)) {
        dropOwner();
    }
    CallResult result;
    // A non-idempotent request is sent only to an owner. Without one it has not run, and as its
    // sequence number is not reused, it never will.
    result.outcome = neverSent ? Outcome::NotRun : Outcome::Unknown;
    result.reason = "no answer within the deadline";
    finish(at, std::move(result), now);
}

void CallerNode::onTick(Instant now)
{
    std::vector<RequestSequence> dueCalls;
    for (const auto &[sequence, pending] : m_calls) {
        if (now >= pending.deadline || now >= pending.nextSend) {
            dueCalls.push_back(sequence);
        }
    }
    for (const RequestSequence sequence : dueCalls) {
        const auto at = m_calls.find(sequence);
        if (at == m_calls.end()) {
            continue;
        }
        PendingCall &pending = at->second;
        if (now >= pending.deadline) {
            expire(at, now);
            continue;
        }
        const bool idempotent = isIdempotent(pending.call.method);
        if (idempotent && ownerIsSilent(pending)) {
            dropOwner();
        }
        if (pending.attempts > 0 && pending.unanswered > 0) {
            // A retry after a time-out takes a token from the budget, but is sent even if there is
            // none.
            ++m_counters.retries;
            m_settings.budget.spend();
        }
        sendAttempt(sequence, pending, now);
    }
}

} // namespace bergamotglade
