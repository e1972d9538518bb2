// Measures how the time of the hot paths and the memory of the state grow with the number of
// upstreams, services, sections, flows, requests or VMs and with the size of payloads and sections.
// The results are quoted in docs/CAPACITY.md.

#include <bergamotglade/detail/config/store.hpp>
#include <bergamotglade/detail/flow/flow_table.hpp>
#include <bergamotglade/detail/net/datagram_codec.hpp>
#include <bergamotglade/detail/net/http_codec.hpp>
#include <bergamotglade/detail/node/balancer_node.hpp>
#include <bergamotglade/detail/routing/candidates.hpp>

#include <benchmark/benchmark.h>

#include <malloc.h>

namespace {

using namespace bergamotglade;

std::string serviceText(std::size_t number, std::size_t upstreams)
{
    const std::string id = std::to_string(number);
    std::string text = "  - name: s" + id + "\n    address: 10." + std::to_string(number / 65536)
        + '.' + std::to_string(number / 256 % 256) + '.' + std::to_string(number % 256)
        + ":80\n    upstreams:\n";
    for (std::size_t i = 0; i < upstreams; ++i) {
        text += "      - {id: s" + id + "-u" + std::to_string(i) + ", vm: vm" + std::to_string(i)
            + ", domain: z" + std::to_string(i % 15) + ", agent: \"127."
            + std::to_string(number / 256 % 256) + '.' + std::to_string(number % 256)
            + ".1:" + std::to_string(1000 + i) + "\", weight: 100}\n";
    }
    return text;
}

ChangeBatch documentOf(std::size_t services, std::size_t upstreams)
{
    ChangeBatch batch {Revision(0), Revision(services + 1), {}};
    std::string root = "sections:\n";
    for (std::size_t i = 0; i < services; ++i) {
        const std::string name = "team" + std::to_string(i);
        batch.changes.push_back(
            {SectionName(name), Revision(i + 1), "services:\n" + serviceText(i, upstreams), false});
        root += "  - " + name + '\n';
    }
    batch.changes.push_back({RootName, Revision(services + 1), root, false});
    return batch;
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks + mallinfo2().hblkhd;
}

/// A Dissemination that sends nothing: its hooks do nothing.
Dissemination silentDissemination()
{
    DisseminationHooks hooks;
    hooks.sendNotice = [](const Endpoint &, const Notice &) {
    };
    hooks.fetchFromPeer = [](const Endpoint &, Revision) {
    };
    hooks.readPlatform = [](Revision, bool) {
    };
    hooks.readVmList = [] {
    };
    return {DisseminationSettings {}, std::move(hooks), seededRandom(1)};
}

void candidatesOfAPacket(benchmark::State &state)
{
    ConfigStore store;
    store.apply(documentOf(1, static_cast<std::size_t>(state.range(0))));
    Router router;
    std::uint16_t port = 0;
    // Fills the cache of candidates, which tables of more than 32 upstreams have, with the buckets
    // of all ports of this caller.
    for (std::uint32_t i = 0; i < 65'536; ++i) {
        const FlowKey flow {{0x7f000001, ++port}, {0x0a000000, 80}};
        const ServiceTable *table = router.at(store.view(), flow.service);
        benchmark::DoNotOptimize(table->candidates(bucketOf(flow)));
    }
    for (auto _ : state) {
        const FlowKey flow {{0x7f000001, ++port}, {0x0a000000, 80}};
        const ServiceTable *table = router.at(store.view(), flow.service);
        benchmark::DoNotOptimize(table->candidates(bucketOf(flow)));
    }
}
BENCHMARK(candidatesOfAPacket)->Arg(10)->Arg(100)->Arg(1000)->Arg(9000);

void packetOfABalancer(benchmark::State &state)
{
    Dissemination dissemination = silentDissemination();
    const Instant now(Millis(1'000'000));
    dissemination.start(now);
    const auto services = static_cast<std::size_t>(state.range(0));
    dissemination.onPlatformBatch(documentOf(services, 3), now);
    std::size_t bytes = 0;
    BalancerNode node(dissemination, {[&](const Endpoint &, const DataPacket &packet) {
                          bytes += encode(packet).size();
                      }});
    const std::string payload(200, 'x');
    // The first platform answer does not confirm the configuration, so the process may act only
    // after confirmationTimeout (3 s). Time advances in steps of 100 ms, because a gap of more than
    // pauseThreshold (2 s) counts as a pause, after which the process has to wait again.
    Instant later = now;
    for (int i = 0; i < 40; ++i) {
        later += Millis(100);
        dissemination.mayAct(later);
    }
    std::uint32_t flow = 0;
    for (auto _ : state) {
        const Endpoint address {0x0a000000 + ++flow % static_cast<std::uint32_t>(services), 80};
        node.onCallerPacket({0x7f000001, static_cast<std::uint16_t>(flow)}, address, payload,
                            later);
    }
    state.counters["forwarded"] = static_cast<double>(node.counters().forwarded);
    benchmark::DoNotOptimize(bytes);
}
BENCHMARK(packetOfABalancer)->Arg(10)->Arg(310)->Arg(3100);

void flowLookup(benchmark::State &state)
{
    const std::size_t before = heapBytes();
    FlowTable table(Millis(300'000), 2'000'000);
    const auto flows = static_cast<std::uint64_t>(state.range(0));
    const Instant now(Millis(1000));
    for (std::uint64_t i = 1; i <= flows; ++i) {
        table.open(FlowNonce(hashPair(i, 0)), {{1, 2}, {3, 4}}, now);
    }
    state.counters["bytes_per_flow"] =
        static_cast<double>(heapBytes() - before) / static_cast<double>(flows);
    std::uint64_t i = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(table.find(FlowNonce(hashPair(++i % flows + 1, 0))));
    }
}
BENCHMARK(flowLookup)->Arg(1000)->Arg(10000)->Arg(100000)->Arg(1000000);

void ledgerRequest(benchmark::State &state)
{
    Ledger ledger;
    const Instant now(Millis(1000));
    const auto open = static_cast<std::uint64_t>(state.range(0));
    std::uint64_t sequence = 0;
    for (auto _ : state) {
        ++sequence;
        ledger.begin(RequestSequence(sequence), false, now + Millis(1), now);
        ledger.finish(RequestSequence(sequence), LedgerState::Answered);
        if (sequence % open == 0) {
            ledger.expire(now + Millis(2));
        }
    }
}
BENCHMARK(ledgerRequest)->Arg(8)->Arg(64)->Arg(512);

void codecOfAPacket(benchmark::State &state)
{
    DataPacket packet;
    packet.service = ServiceName("catalogue");
    for (std::uint16_t i = 0; i < 4; ++i) {
        packet.candidates.push({0x7f000001, i});
    }
    packet.payload = std::string(static_cast<std::size_t>(state.range(0)), 'x');
    for (auto _ : state) {
        benchmark::DoNotOptimize(decodeDatagram(encode(packet)));
    }
}
BENCHMARK(codecOfAPacket)->Arg(100)->Arg(1000)->Arg(10000);

void codecOfARequest(benchmark::State &state)
{
    Request request;
    request.caller = CallerId("c123");
    request.sequence = RequestSequence(5);
    request.remaining = Millis(2000);
    request.owner = OwnerToken {{1, 2}, Incarnation(3), FlowNonce(4)};
    request.service = ServiceName("catalogue");
    request.method = "GET";
    request.target = "/kits/5";
    for (auto _ : state) {
        benchmark::DoNotOptimize(decodeRequest(encode(request)));
    }
}
BENCHMARK(codecOfARequest);

void checkOfASection(benchmark::State &state)
{
    std::string text = "services:\n";
    for (std::size_t i = 0; text.size() < static_cast<std::size_t>(state.range(0)); ++i) {
        text += serviceText(i, 3);
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(parseSection(SectionName("s"), text, "s"));
    }
    state.SetBytesProcessed(static_cast<std::int64_t>(text.size()) * state.iterations());
}
BENCHMARK(checkOfASection)
    ->Arg(1000)
    ->Arg(10000)
    ->Arg(100000)
    ->Arg(900000)
    ->Unit(benchmark::kMillisecond);

void mergeOfOneSection(benchmark::State &state)
{
    ConfigStore store;
    const auto sections = static_cast<std::size_t>(state.range(0));
    store.apply(documentOf(sections, 3));
    std::uint64_t revision = sections + 1;
    for (auto _ : state) {
        const Revision since(revision);
        ++revision;
        const std::string text = "services:\n" + serviceText(0, 3);
        store.apply(
            {since, Revision(revision), {{SectionName("team0"), Revision(revision), text, false}}});
    }
}
BENCHMARK(mergeOfOneSection)->Arg(10)->Arg(310)->Arg(3100)->Unit(benchmark::kMicrosecond);

void memoryOfTheDocument(benchmark::State &state)
{
    const auto services = static_cast<std::size_t>(state.range(0));
    for (auto _ : state) {
        const std::size_t before = heapBytes();
        ConfigStore store;
        std::size_t text = 0;
        {
            const ChangeBatch batch = documentOf(services, 3);
            for (const SectionChange &change : batch.changes) {
                text += change.text.size();
            }
            store.apply(batch);
        }
        state.counters["heap_bytes"] = static_cast<double>(heapBytes() - before);
        state.counters["text_bytes"] = static_cast<double>(text);
    }
}
BENCHMARK(memoryOfTheDocument)
    ->Arg(31)
    ->Arg(310)
    ->Arg(3100)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

void noticeRound(benchmark::State &state)
{
    // One gossip round of a process whose VM list has the given length.
    Dissemination dissemination = silentDissemination();
    Instant now(Millis(1'000'000));
    dissemination.start(now);
    dissemination.onPlatformBatch(documentOf(1, 3), now);
    std::vector<Vm> vms;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        vms.push_back({VmId("vm" + std::to_string(i)),
                       FailureDomainId("z"),
                       {0x0a000000 + static_cast<std::uint32_t>(i), 1},
                       false});
    }
    dissemination.onVmList(vms, now);
    for (auto _ : state) {
        now += Millis(1000);
        dissemination.onTick(now);
    }
}
BENCHMARK(noticeRound)->Arg(100)->Arg(1000)->Arg(11900)->Unit(benchmark::kMicrosecond);

} // namespace
