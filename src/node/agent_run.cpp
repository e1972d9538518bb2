// Request execution at the upstream: ledger, queue, concurrency limit, deadline and answer.

#include <bergamotglade/detail/node/agent_node.hpp>

#include <algorithm>
#include <cmath>

namespace bergamotglade {

namespace {

/// Service time assumed until the first answer.
constexpr double DefaultServiceTimeMs = 50;
/// Lower bound of the time before a retry that is sent with a refusal.
constexpr Millis RetryAfterMin {50};
/// Lower bound of lentTimeout().
constexpr Millis LentTimeoutMin {400};

} // namespace

AgentNode::PendingRequest AgentNode::makePending(const Endpoint &caller, const Request &request,
                                                 Instant now) const
{
    const Millis defaultDeadline = m_service ? m_service->deadline : Service().deadline;
    const Millis timeLeft = request.remaining > Millis() ? request.remaining : defaultDeadline;
    PendingRequest pending;
    pending.request = request;
    pending.caller = caller;
    pending.arrived = now;
    pending.deadline = now + std::min(timeLeft, DeadlineMax);
    return pending;
}

void AgentNode::serve(Flow &flow, const DataPacket &packet, const Request &request, Instant now)
{
    const Endpoint caller = packet.flow.caller;
    if (request.opensOnly) {
        reply(caller, request, flow.nonce, Outcome::Opened, "flow is open");
        return;
    }
    PendingRequest pending = makePending(caller, request, now);
    const LedgerEntry *known = flow.ledger.find(request.sequence);
    const bool lendable = known == nullptr || known->state == LedgerState::Lent;
    const bool retryDue = known == nullptr || now >= known->retryAt;
    if (lendable && retryDue && request.idempotent() && lend(packet, now)) {
        flow.ledger.lend(request.sequence, pending.deadline, now + lentTimeout());
        return;
    }
    const Millis grace = request.idempotent() ? m_settings.repeatGrace : m_settings.ledgerGrace;
    const auto verdict =
        flow.ledger.begin(request.sequence, request.idempotent(), pending.deadline + grace, now);
    if (verdict != Ledger::Verdict::Run && m_settings.mechanisms.ledger) {
        replyWithVerdict(flow, caller, request, verdict);
        return;
    }
    pending.flow = flow.nonce;
    enqueue(std::move(pending), now);
}

void AgentNode::replyWithVerdict(const Flow &flow, const Endpoint &caller, const Request &request,
                                 Ledger::Verdict verdict)
{
    ++m_counters.repeats;
    switch (verdict) {
    case Ledger::Verdict::Run:
        return;
    case Ledger::Verdict::Stored:
        replyAnswer(caller, request, flow.nonce, *flow.ledger.find(request.sequence)->answer);
        return;
    case Ledger::Verdict::InProgress:
        reply(caller, request, flow.nonce, Outcome::InProgress, "running");
        return;
    case Ledger::Verdict::NotRun:
        reply(caller, request, flow.nonce, Outcome::NotRun, "refused before");
        return;
    case Ledger::Verdict::Unknown:
        reply(caller, request, flow.nonce, Outcome::Unknown, "may have run");
        return;
    }
}

bool AgentNode::lend(const DataPacket &packet, Instant now)
{
    const LoadEstimate own = ownLoad(now);
    const bool busy = !m_queue.empty() || !admits(now)
        || own.utilization() > m_settings.placement.lendUtilization;
    if (!m_settings.offload || !busy) {
        return false;
    }
    const auto lessLoaded =
        m_peerLoads.findLessLoadedPeer(ownLoad(now), now, [&](const Endpoint &peer) {
            return isPlacementTarget(peer, packet, now);
        });
    if (!lessLoaded) {
        return false;
    }
    ++m_counters.requestsLent;
    m_peerLoads.onSent(*lessLoaded, now);
    DataPacket lent = packet;
    lent.lent = true;
    return forwardTo(*lessLoaded, lent);
}

void AgentNode::serveLent(const DataPacket &packet, const Request &request, Instant now)
{
    if (!request.idempotent()) {
        ++m_counters.wrongService;
        return;
    }
    enqueue(makePending(packet.flow.caller, request, now), now);
}

Millis AgentNode::lentTimeout() const
{
    // The agent that runs a lent request answers the caller directly. If an attempt arrives after
    // this time, the answer is assumed to be lost and the request may be run again.
    return std::max(LentTimeoutMin, m_limit.serviceTime() * 4);
}

Millis AgentNode::expectedWait(Instant now) const
{
    const double slots = m_limit.value(now);
    const double excess = static_cast<double>(m_running.size() + m_queue.size() + 1) - slots;
    const double time = ownLoad(now).serviceTimeMs;
    return Millis(static_cast<std::int64_t>(std::max(0.0, excess) / slots * time));
}

LoadEstimate AgentNode::ownLoad(Instant now) const
{
    const double known = static_cast<double>(m_limit.serviceTime().count());
    return {static_cast<double>(m_running.size()), static_cast<double>(m_queue.size()),
            m_limit.value(now), known == 0 ? DefaultServiceTimeMs : known};
}

void AgentNode::enqueue(PendingRequest pending, Instant now)
{
    const Millis wait = expectedWait(now);
    const auto timeLeft = static_cast<double>((pending.deadline - now).count());
    const bool waitTooLong = static_cast<double>(wait.count()) > timeLeft * m_settings.maxWaitShare;
    const bool ledgerFull =
        !pending.request.idempotent() && m_answerBytes > m_settings.answerBytesMax;
    if (waitTooLong || ledgerFull || m_queue.size() >= m_settings.queueMax) {
        refuse(pending, ledgerFull ? "ledger is full" : "overloaded", now);
        return;
    }
    m_queue.push_back(std::move(pending));
    startQueued(now);
}

bool AgentNode::admits(Instant now) const
{
    return !m_settings.mechanisms.limit || m_limit.admits(m_running.size(), now);
}

void AgentNode::startQueued(Instant now)
{
    while (!m_queue.empty() && admits(now)) {
        PendingRequest pending = std::move(m_queue.front());
        m_queue.pop_front();
        if (pending.deadline <= now) {
            ++m_counters.expiredInQueue;
            refuse(pending, "deadline passed while waiting", now);
            continue;
        }
        start(std::move(pending), now);
    }
}

void AgentNode::start(PendingRequest pending, Instant now)
{
    updateOverdue(now);
    const RunId run(m_nextRun++);
    ++m_counters.runs;
    if (pending.flow) {
        Flow *flow = m_flows.find(*pending.flow);
        if (flow != nullptr) {
            flow->ledger.setRunning(pending.request.sequence);
        }
    }
    pending.startedAt = now;
    const Millis timeLeft = pending.deadline - now;
    const Request request = pending.request;
    m_running.emplace(run, std::move(pending));
    m_hooks.run(run, request, timeLeft);
}

void AgentNode::onRunEnd(RunId run, RunEnd end, Answer answer, Instant now)
{
    const auto found = m_running.find(run);
    if (found == m_running.end()) {
        return;
    }
    const PendingRequest pending = std::move(found->second);
    const std::size_t running = m_running.size();
    m_running.erase(found);
    constexpr std::uint16_t ServiceUnavailable = 503;
    const Millis latency = now - pending.startedAt;
    if (end == RunEnd::Answered) {
        m_counters.busyMs += static_cast<std::uint64_t>(latency.count());
        if (answer.status == ServiceUnavailable) {
            m_limit.onFailure(now);
        } else {
            m_limit.onSuccess(latency, running, now);
        }
        ++m_counters.answered;
        const Millis target = m_service ? m_service->objective.latency : Objective().latency;
        m_counters.inTime += now - pending.arrived <= target ? 1 : 0;
        const auto stored = std::make_shared<const Answer>(std::move(answer));
        finish(pending, LedgerState::Answered, stored);
        replyAnswer(pending.caller, pending.request, pending.flow, *stored);
    } else if (end == RunEnd::NotSent) {
        m_limit.onFailure(now);
        refuse(pending, "upstream does not accept connections", now);
    } else {
        m_limit.onFailure(now);
        ++m_counters.unknown;
        finish(pending, LedgerState::Unknown, nullptr);
        reply(pending.caller, pending.request, pending.flow, Outcome::Unknown,
              "upstream broke off");
    }
    startQueued(now);
}

void AgentNode::updateOverdue(Instant now)
{
    const Millis allowed = m_limit.overdueAfter();
    std::size_t overdue = 0;
    for (const auto &[run, pending] : m_running) {
        overdue += now - pending.startedAt > allowed ? 1 : 0;
    }
    m_limit.onOverdue(overdue, m_running.size(), now);
}

void AgentNode::expireRunning(Instant now)
{
    std::vector<RunId> expired;
    for (const auto &[run, pending] : m_running) {
        if (pending.deadline <= now) {
            expired.push_back(run);
        }
    }
    std::sort(expired.begin(), expired.end());
    for (const RunId run : expired) {
        const PendingRequest pending = std::move(m_running.at(run));
        m_running.erase(run);
        m_hooks.cancel(run);
        m_limit.onFailure(now);
        ++m_counters.unknown;
        finish(pending, LedgerState::Unknown, nullptr);
        reply(pending.caller, pending.request, pending.flow, Outcome::Unknown, "deadline passed");
    }
}

void AgentNode::finish(const PendingRequest &pending, LedgerState state,
                       std::shared_ptr<const Answer> answer)
{
    Flow *flow = pending.flow ? m_flows.find(*pending.flow) : nullptr;
    if (flow == nullptr) {
        return;
    }
    // Above half of the memory for answers, those of idempotent requests are not stored, because
    // such requests can run again.
    const bool memoryLow = m_answerBytes > m_settings.answerBytesMax / 2;
    if (answer && memoryLow && pending.request.idempotent()) {
        flow->ledger.finish(pending.request.sequence, LedgerState::Unknown);
        return;
    }
    m_answerBytes += answer ? answer->body.size() : 0;
    flow->ledger.finish(pending.request.sequence, state, std::move(answer));
}

void AgentNode::refuse(const PendingRequest &pending, std::string reason, Instant now)
{
    // A refused non-idempotent request never runs. An idempotent one may have run in another
    // attempt, so only this attempt is refused.
    const bool neverRuns = pending.flow && !pending.request.idempotent();
    ++(neverRuns ? m_counters.notRun : m_counters.refused);
    finish(pending, LedgerState::NotRun, nullptr);
    reply(pending.caller, pending.request, pending.flow,
          neverRuns ? Outcome::NotRun : Outcome::Refused, std::move(reason),
          std::max(RetryAfterMin, expectedWait(now)));
}

Response AgentNode::responseHead(const Request &request, const std::optional<FlowNonce> &flow) const
{
    Response response;
    response.caller = request.caller;
    response.sequence = request.sequence;
    if (flow) {
        const DisseminationSettings &own = m_dissemination.settings();
        response.owner = OwnerToken {own.self, own.incarnation, *flow};
    }
    return response;
}

void AgentNode::reply(const Endpoint &caller, const Request &request,
                      const std::optional<FlowNonce> &flow, Outcome outcome, std::string reason,
                      Millis retryAfter)
{
    Response response = responseHead(request, flow);
    response.outcome = outcome;
    response.reason = std::move(reason);
    response.retryAfter = retryAfter;
    m_hooks.sendToCaller(caller, response);
}

void AgentNode::replyAnswer(const Endpoint &caller, const Request &request,
                            const std::optional<FlowNonce> &flow, const Answer &answer)
{
    const Response head = responseHead(request, flow);
    for (const Response &part : splitAnswer(head, answer, request.missingParts)) {
        m_hooks.sendToCaller(caller, part);
    }
}

} // namespace bergamotglade
