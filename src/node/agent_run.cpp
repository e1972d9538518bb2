// Running requests against the upstream: ledger, queue, limit, deadline, answer.

#include <bergamotglade/detail/node/agent_node.hpp>

#include <algorithm>
#include <cmath>

namespace bergamotglade {

namespace {

/// Service time assumed before the first answer.
constexpr double UsualServiceMs = 50;
constexpr Millis RetryAfterMin {50};
constexpr Millis LentPatienceMin {400};

} // namespace

AgentNode::Work AgentNode::makeWork(const Endpoint &caller, const Request &request,
                                    Instant now) const
{
    const Millis usual = m_service ? m_service->deadline : Service().deadline;
    const Millis left = request.remaining > Millis() ? request.remaining : usual;
    Work work;
    work.request = request;
    work.caller = caller;
    work.arrived = now;
    work.deadline = now + std::min(left, DeadlineMax);
    return work;
}

void AgentNode::serve(Flow &flow, const DataPacket &packet, const Request &request, Instant now)
{
    const Endpoint caller = packet.flow.caller;
    if (request.opensOnly) {
        reply(caller, request, flow.nonce, Outcome::Opened, "flow is open");
        return;
    }
    Work work = makeWork(caller, request, now);
    const LedgerEntry *known = flow.ledger.find(request.sequence);
    const bool open = known == nullptr || known->state == LedgerState::Lent;
    const bool due = known == nullptr || now >= known->retryAt;
    if (open && due && request.idempotent() && lend(packet, now)) {
        flow.ledger.lend(request.sequence, work.deadline, now + lentPatience());
        return;
    }
    const Millis grace = request.idempotent() ? m_settings.repeatGrace : m_settings.ledgerGrace;
    const auto verdict =
        flow.ledger.begin(request.sequence, request.idempotent(), work.deadline + grace, now);
    if (verdict != Ledger::Verdict::Run && m_settings.mechanisms.ledger) {
        answerVerdict(flow, caller, request, verdict);
        return;
    }
    work.flow = flow.nonce;
    enqueue(std::move(work), now);
}

void AgentNode::answerVerdict(const Flow &flow, const Endpoint &caller, const Request &request,
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
    const bool busy =
        !m_queue.empty() || !admits(now) || own.use() > m_settings.placement.lendAbove;
    if (!m_settings.handOn || !busy) {
        return false;
    }
    const auto better = m_board.clearlyBetter(
        ownLoad(now), now, [&](const Endpoint &peer) { return mayTake(peer, packet, now); });
    if (!better) {
        return false;
    }
    ++m_counters.requestsLent;
    m_board.onSent(*better, now);
    DataPacket lent = packet;
    lent.lent = true;
    return passOn(*better, lent);
}

void AgentNode::serveLent(const DataPacket &packet, const Request &request, Instant now)
{
    if (!request.idempotent()) {
        ++m_counters.wrongService;
        return;
    }
    enqueue(makeWork(packet.flow.caller, request, now), now);
}

Millis AgentNode::lentPatience() const
{
    // A lent request that has not been answered by then may run again.
    return std::max(LentPatienceMin, m_limit.serviceTime() * 4);
}

Millis AgentNode::expectedWait(Instant now) const
{
    const double slots = m_limit.value(now);
    const double ahead = static_cast<double>(m_running.size() + m_queue.size() + 1) - slots;
    const double time = ownLoad(now).serviceTimeMs;
    return Millis(static_cast<std::int64_t>(std::max(0.0, ahead) / slots * time));
}

LoadEstimate AgentNode::ownLoad(Instant now) const
{
    const double known = static_cast<double>(m_limit.serviceTime().count());
    return {static_cast<double>(m_running.size()), static_cast<double>(m_queue.size()),
            m_limit.value(now), known == 0 ? UsualServiceMs : known};
}

void AgentNode::enqueue(Work work, Instant now)
{
    const Millis wait = expectedWait(now);
    const auto left = static_cast<double>((work.deadline - now).count());
    const bool hopeless = static_cast<double>(wait.count()) > left * m_settings.patience;
    const bool noRoom = !work.request.idempotent() && m_answerBytes > m_settings.answerBytesMax;
    if (hopeless || noRoom || m_queue.size() >= m_settings.queueMax) {
        refuse(work, noRoom ? "ledger is full" : "overloaded", now);
        return;
    }
    m_queue.push_back(std::move(work));
    startQueued(now);
}

bool AgentNode::admits(Instant now) const
{
    return !m_settings.mechanisms.limit || m_limit.admits(m_running.size(), now);
}

void AgentNode::startQueued(Instant now)
{
    while (!m_queue.empty() && admits(now)) {
        Work work = std::move(m_queue.front());
        m_queue.pop_front();
        if (work.deadline <= now) {
            ++m_counters.expiredInQueue;
            refuse(work, "deadline passed while waiting", now);
            continue;
        }
        start(std::move(work), now);
    }
}

void AgentNode::start(Work work, Instant now)
{
    watchRunning(now);
    const RunId run(m_nextRun++);
    ++m_counters.runs;
    if (work.flow) {
        Flow *flow = m_flows.find(*work.flow);
        if (flow != nullptr) {
            flow->ledger.setRunning(work.request.sequence);
        }
    }
    work.startedAt = now;
    const Millis left = work.deadline - now;
    const Request request = work.request;
    m_running.emplace(run, std::move(work));
    m_hooks.run(run, request, left);
}

void AgentNode::onRunEnd(RunId run, RunEnd end, Answer answer, Instant now)
{
    const auto found = m_running.find(run);
    if (found == m_running.end()) {
        return;
    }
    const Work work = std::move(found->second);
    const std::size_t under = m_running.size();
    m_running.erase(found);
    constexpr std::uint16_t ServiceUnavailable = 503;
    const Millis took = now - work.startedAt;
    if (end == RunEnd::Answered) {
        m_counters.busyMs += static_cast<std::uint64_t>(took.count());
        if (answer.status == ServiceUnavailable) {
            m_limit.onFailure(now);
        } else {
            m_limit.onSuccess(took, under, now);
        }
        ++m_counters.answered;
        const Millis target = m_service ? m_service->objective.latency : Objective().latency;
        m_counters.inTime += now - work.arrived <= target ? 1 : 0;
        const auto stored = std::make_shared<const Answer>(std::move(answer));
        finish(work, LedgerState::Answered, stored);
        replyAnswer(work.caller, work.request, work.flow, *stored);
    } else if (end == RunEnd::NotSent) {
        m_limit.onFailure(now);
        refuse(work, "upstream does not accept connections", now);
    } else {
        m_limit.onFailure(now);
        ++m_counters.unknown;
        finish(work, LedgerState::Unknown, nullptr);
        reply(work.caller, work.request, work.flow, Outcome::Unknown, "upstream broke off");
    }
    startQueued(now);
}

void AgentNode::watchRunning(Instant now)
{
    const Millis patience = m_limit.overdueAfter();
    std::size_t overdue = 0;
    for (const auto &[run, work] : m_running) {
        overdue += now - work.startedAt > patience ? 1 : 0;
    }
    m_limit.onRunning(overdue, m_running.size(), now);
}

void AgentNode::expireWork(Instant now)
{
    std::vector<RunId> late;
    for (const auto &[run, work] : m_running) {
        if (work.deadline <= now) {
            late.push_back(run);
        }
    }
    std::sort(late.begin(), late.end());
    for (const RunId run : late) {
        const Work work = std::move(m_running.at(run));
        m_running.erase(run);
        m_hooks.cancel(run);
        m_limit.onFailure(now);
        ++m_counters.unknown;
        finish(work, LedgerState::Unknown, nullptr);
        reply(work.caller, work.request, work.flow, Outcome::Unknown, "deadline passed");
    }
}

void AgentNode::finish(const Work &work, LedgerState state, std::shared_ptr<const Answer> answer)
{
    Flow *flow = work.flow ? m_flows.find(*work.flow) : nullptr;
    if (flow == nullptr) {
        return;
    }
    // Answers that may be made again are the first not to be kept when memory runs short.
    const bool crowded = m_answerBytes > m_settings.answerBytesMax / 2;
    if (answer && crowded && work.request.idempotent()) {
        flow->ledger.finish(work.request.sequence, LedgerState::Unknown);
        return;
    }
    m_answerBytes += answer ? answer->body.size() : 0;
    flow->ledger.finish(work.request.sequence, state, std::move(answer));
}

void AgentNode::refuse(const Work &work, std::string reason, Instant now)
{
    // An idempotent request may have run through another attempt; nothing is said of that.
    const bool holdsRight = work.flow && !work.request.idempotent();
    ++(holdsRight ? m_counters.notRun : m_counters.refused);
    finish(work, LedgerState::NotRun, nullptr);
    reply(work.caller, work.request, work.flow, holdsRight ? Outcome::NotRun : Outcome::Refused,
          std::move(reason), std::max(RetryAfterMin, expectedWait(now)));
}

Response AgentNode::head(const Request &request, const std::optional<FlowNonce> &flow) const
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
    Response response = head(request, flow);
    response.outcome = outcome;
    response.reason = std::move(reason);
    response.retryAfter = retryAfter;
    m_hooks.sendToCaller(caller, response);
}

void AgentNode::replyAnswer(const Endpoint &caller, const Request &request,
                            const std::optional<FlowNonce> &flow, const Answer &answer)
{
    const Response first = head(request, flow);
    for (const Response &part : splitAnswer(first, answer, request.missingParts)) {
        m_hooks.sendToCaller(caller, part);
    }
}

} // namespace bergamotglade
