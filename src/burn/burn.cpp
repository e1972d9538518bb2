#include <bergamotglade/detail/burn/burn.hpp>

#include <algorithm>
#include <map>

namespace bergamotglade {

namespace {

/// Burn rate in both windows that calls for an immediate alert. The usual threshold: an hour at
/// this rate uses 2 % of a 30-day budget.
constexpr double FastBurn = 14.4;
/// Burn rate above which, in both windows, the service needs attention within a day: at a constant
/// rate above 1, the budget is used up before the objective's window ends.
constexpr double SlowBurn = 1.0;

std::uint64_t failedRequests(const RequestCounts &count)
{
    return count.all - count.good;
}

template <typename Key>
Key worstOf(const std::map<Key, std::uint64_t> &failures)
{
    const auto worstEntry = std::max_element(failures.begin(), failures.end(),
                                             [](auto &a, auto &b) { return a.second < b.second; });
    return worstEntry == failures.end() || worstEntry->second == 0 ? Key() : worstEntry->first;
}

BurnLevel burnLevel(const BurnLine &line)
{
    const double lowerRate = std::min(line.shortBurn, line.longBurn);
    if (lowerRate >= FastBurn) {
        return BurnLevel::Fast;
    }
    return lowerRate > SlowBurn ? BurnLevel::Slow : BurnLevel::Ok;
}

} // namespace

void WindowCounter::add(const RequestCounts &count, Instant now)
{
    const std::int64_t index = now.time_since_epoch() / SlotLength;
    Slot &slot = m_slots[static_cast<std::size_t>(index) % SlotCount];
    if (slot.index != index) {
        slot = {index, {}};
    }
    slot.count += count;
}

RequestCounts WindowCounter::sum(Millis window, Instant now) const
{
    const std::int64_t last = now.time_since_epoch() / SlotLength;
    const std::int64_t first = last - std::max<std::int64_t>(1, window / SlotLength) + 1;
    RequestCounts total;
    for (const Slot &slot : m_slots) {
        if (slot.index >= first && slot.index <= last) {
            total += slot.count;
        }
    }
    return total;
}

double burnRate(const RequestCounts &count, const Objective &objective) noexcept
{
    if (count.all == 0) {
        return 0;
    }
    const double failed =
        static_cast<double>(failedRequests(count)) / static_cast<double>(count.all);
    return failed / (1 - objective.share);
}

std::vector<BurnLine> burnReport(const std::vector<Service> &services,
                                 const std::vector<BurnSample> &samples)
{
    std::vector<BurnLine> lines;
    for (const Service &service : services) {
        BurnLine line;
        line.service = service.name;
        line.objective = service.objective;
        RequestCounts shortTotal;
        RequestCounts longTotal;
        std::map<FailureDomainId, std::uint64_t> domains;
        std::map<UpstreamId, std::uint64_t> upstreams;
        for (const BurnSample &sample : samples) {
            if (sample.service != service.name) {
                continue;
            }
            shortTotal += sample.shortWindow;
            longTotal += sample.longWindow;
            line.sinceStart += sample.sinceStart;
            domains[sample.domain] += failedRequests(sample.longWindow);
            upstreams[sample.upstream] += failedRequests(sample.longWindow);
        }
        line.shortBurn = burnRate(shortTotal, service.objective);
        line.longBurn = burnRate(longTotal, service.objective);
        line.budgetLeft = 1 - burnRate(line.sinceStart, service.objective);
        if (line.longBurn > 0 && line.budgetLeft > 0) {
            const double window = static_cast<double>(service.objective.window.count());
            line.budgetExhaustedIn =
                Millis(static_cast<std::int64_t>(window * line.budgetLeft / line.longBurn));
        }
        line.worstDomain = worstOf(domains);
        line.worstUpstream = worstOf(upstreams);
        line.level = burnLevel(line);
        lines.push_back(std::move(line));
    }
    return lines;
}

} // namespace bergamotglade
