// Simulated callers and upstreams, and the invariants of the results.

#include "fleet_fixture.hpp"

#include <bergamotglade/detail/net/http.hpp>

#include <algorithm>

namespace bergamotglade::tests {

namespace {

constexpr Millis CallerTickInterval {10};
constexpr std::uint32_t Loopback = 0x7f000001;
constexpr std::uint16_t FirstCallerPort = 30'000;

} // namespace

TestCaller &TestFleet::addCaller(const std::string &service)
{
    auto caller = std::make_unique<TestCaller>();
    const auto number = static_cast<std::uint16_t>(m_callers.size());
    caller->endpoint = {Loopback, static_cast<std::uint16_t>(FirstCallerPort + number)};
    caller->service = service == "kits" ? kitsAddress : listsAddress;
    CallerSettings settings;
    settings.id = CallerId("c" + std::to_string(number));
    settings.service = ServiceName(service);
    settings.mechanisms = m_mechanisms;
    TestCaller *self = caller.get();
    caller->node = std::make_unique<CallerNode>(settings, [this, self](const Request &request) {
        const std::string key = std::to_string(m_order++);
        m_requests[key] = request;
        const auto names = hostNames("balancer-");
        Host &to = host(names[randomBelow(m_random, names.size())]);
        transmit(nullptr, to, options.data, [this, &to, self, key] {
            to.balancer->onCallerPacket(self->endpoint, self->service, key, m_now);
        });
    });
    m_callers.push_back(std::move(caller));
    callerTick(*self);
    return *self;
}

std::vector<TestCaller *> TestFleet::addCallers(int count)
{
    std::vector<TestCaller *> callers;
    for (int i = 0; i < count; ++i) {
        callers.push_back(&addCaller());
    }
    return callers;
}

void TestFleet::callerTick(TestCaller &caller)
{
    caller.node->onTick(m_now);
    after(CallerTickInterval, [this, &caller] { callerTick(caller); });
}

void TestFleet::submit(TestCaller &caller, const std::string &method, const std::string &target,
                       Millis deadline)
{
    m_calls.push_back(std::make_unique<CallRecord>());
    CallRecord *record = m_calls.back().get();
    record->method = method;
    record->target = target;
    caller.node->submit(
        {method, target, "", "", deadline},
        [record](const CallResult &result) {
            record->done = true;
            record->result = result;
        },
        m_now);
}

void TestFleet::toCaller(const Endpoint &endpoint, const Response &response)
{
    for (const auto &caller : m_callers) {
        if (caller->endpoint != endpoint) {
            continue;
        }
        if (uniformReal() < options.data.loss) {
            return;
        }
        const int copies = uniformReal() < options.data.duplicate ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            after(delay(options.data), [this, node = caller->node.get(), response] {
                node->onResponse(response, m_now);
            });
        }
    }
}

std::string TestFleet::bodyFor(const std::string &target, std::uint64_t run)
{
    std::string body = target + '#' + std::to_string(run) + '\n';
    const std::size_t size = queryNumber(target, "size");
    while (body.size() < size) {
        body += target + '#' + std::to_string(run) + '\n';
    }
    return body;
}

void TestFleet::runAtUpstream(Host &host, RunId run, const Request &request)
{
    FakeUpstream &fake = m_upstreams.at(host.upstream);
    fake.wrongService += request.service == fake.service ? 0 : 1;
    const std::size_t concurrent = fake.active + fake.waiting.size() + 1;
    fake.maxConcurrent = std::max(fake.maxConcurrent, concurrent);
    const bool overloaded = fake.collapseAbove > 0 && concurrent > fake.collapseAbove;
    fake.collapses += overloaded && !fake.collapsed ? 1 : 0;
    fake.collapsed = fake.collapsed || overloaded;
    const std::uint64_t generation = host.generation;
    const auto answer = [this, &host, run, generation](const Answer &body) {
        if (host.generation == generation) {
            deliver(host, [this, &host, run, body] {
                host.agent->onRunEnd(run, RunEnd::Answered, body, m_now);
            });
        }
    };
    if (fake.collapsed) {
        after(Millis(1), [answer] { answer({503, "text/plain", "shed"}); });
        return;
    }
    const std::uint64_t count = ++m_runs[request.target];
    const std::string body = bodyFor(request.target, bodiesVary ? count : 0);
    const auto work = [this, &fake, answer, body] {
        ++fake.active;
        after(fake.serviceTime, [&fake, answer, body] {
            --fake.active;
            answer({200, "text/plain", body});
            if (!fake.waiting.empty()) {
                const auto next = std::move(fake.waiting.front());
                fake.waiting.pop();
                next();
            }
        });
    };
    if (fake.active < fake.slots) {
        work();
    } else {
        fake.waiting.push(work);
    }
}

std::uint64_t TestFleet::runsOf(const std::string &target) const
{
    const auto found = m_runs.find(target);
    return found == m_runs.end() ? 0 : found->second;
}

std::uint64_t TestFleet::brokenFlows() const
{
    std::uint64_t broken = 0;
    for (const auto &caller : m_callers) {
        broken += caller->node->counters().brokenFlows;
    }
    return broken;
}

std::uint64_t TestFleet::movedFlows() const
{
    std::uint64_t moved = 0;
    for (const auto &caller : m_callers) {
        moved += caller->node->counters().movedFlows;
    }
    return moved;
}

std::vector<std::string> TestFleet::violations() const
{
    std::vector<std::string> lines;
    for (const auto &record : m_calls) {
        const std::uint64_t runs = runsOf(record->target);
        const bool post = !isIdempotent(record->method);
        if (post && runs > 1) {
            lines.push_back(record->target + " ran " + std::to_string(runs) + " times");
        }
        if (!record->done) {
            continue;
        }
        const CallResult &result = record->result;
        if (result.outcome == Outcome::NotRun && runs > 0) {
            lines.push_back(record->target + " was reported as not run but ran");
        }
        const bool good = result.outcome == Outcome::Answered && result.answer.status == 200;
        bool matchesRun = false;
        for (std::uint64_t run = 0; good && run <= runs; ++run) {
            matchesRun = matchesRun || result.answer.body == bodyFor(record->target, run);
        }
        if (good && !matchesRun) {
            lines.push_back(record->target + " got an answer that no single run of it returned");
        }
        if (good && post && runs == 0) {
            lines.push_back(record->target + " was answered without a run");
        }
    }
    for (const auto &[id, fake] : m_upstreams) {
        if (fake.wrongService > 0) {
            lines.push_back(id + " got requests of another service");
        }
    }
    return lines;
}

} // namespace bergamotglade::tests
