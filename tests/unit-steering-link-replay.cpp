// Uploads and small flows through a balancer with a link of 10 Mbit/s, with callers that
// retransmit.

#include "steering_fixture.hpp"

#include <packet_codec.hpp>

#include <gtest/gtest.h>

#include <cmath>
#include <random>

using namespace bergamotglade;
using namespace bergamotglade::tests;

namespace {

constexpr double LinkMbps = 10; ///< of one direction
constexpr Millis NetworkDelay {1};
constexpr std::size_t SmallRoute = 0;
constexpr std::size_t UploadRoute = 1;
constexpr std::size_t UploadPackets = 34; // 40,000 bytes
constexpr std::uint32_t PacketDataBytes = 1200;
constexpr std::uint32_t UploadLastBytes = 400;
constexpr std::uint32_t SmallBytes = 900;
constexpr std::uint32_t FirstSequence = 2;
constexpr Endpoint Agent {0x0a010001, 8172};

/// One attempt of a caller.
struct Attempt
{
    std::size_t request = 0;
    FlowKey key;
    bool open = false;
    bool abandoned = false;
    std::size_t sent = 0;
    std::size_t acknowledged = 0; ///< packets
    std::size_t receivedInOrder = 0;
    std::vector<bool> received;
};

struct Request
{
    std::size_t route = SmallRoute;
    Instant startedAt;
    std::size_t attempts = 0;
    std::optional<Millis> openingDelay; ///< until an opening packet has passed the link
    std::optional<Millis> finishedAfter;
};

/// Balancer, its link and the callers. The upstream answers at once, past the link. All attempts of
/// a request go through this one balancer.
class LinkReplay
{
public:
    explicit LinkReplay(double modelledMbps)
        : m_codec(platform::packetCodec())
    {
        m_directory.applySection(SteeringFleet::routeSection({{"kits", 1}}, 0, 2), m_now);
        m_directory.applySection(SteeringFleet::upstreamSectionAt(1), m_now);
        BalancerSteeringHooks hooks;
        hooks.sendToAgent = [this](const Endpoint &, const PacketBytes &bytes) {
            sendThroughLink(bytes, [this, bytes] { onPacketAtUpstream(bytes); });
        };
        hooks.sendReset = [this](const Endpoint &, const PacketBytes &bytes) {
            sendThroughLink(bytes, [this, bytes] {
                onReset(m_attemptOf.at(m_codec.fromUpstream(bytes).value().flow));
            });
        };
        hooks.mayAct = [](Instant) {
            return true;
        };
        hooks.requestConfirmation = [](Instant) {
        };
        hooks.isConfirmedSince = [](Instant, Instant) {
            return true;
        };
        BalancerSteeringSettings settings;
        settings.link.mbps = modelledMbps;
        m_balancer = std::make_unique<BalancerSteering>(settings, m_directory, m_codec,
                                                        std::move(hooks), seededRandom(1));
        tick();
    }

    /// @brief Starts requests at random times with the given average rates.
    void run(Millis duration, double uploadsPerSecond, double smallPerSecond, std::uint64_t seed)
    {
        // The raw generator gives the same numbers with every standard library.
        std::mt19937_64 random(seed);
        const auto startAll = [&](std::size_t route, double perSecond) {
            double at = 0;
            while (at < static_cast<double>(duration.count())) {
                const double uniform = (static_cast<double>(random() >> 11U) + 1) * 0x1p-53;
                at += -std::log(uniform) * 1000 / perSecond;
                schedule(Millis(static_cast<std::int64_t>(at)), [this, route] { start(route); });
            }
        };
        startAll(UploadRoute, uploadsPerSecond);
        startAll(SmallRoute, smallPerSecond);
        const Instant end = m_now + duration + Millis(6000);
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
    }

    /// @brief Share of the small flows whose opening packet passed within a time.
    [[nodiscard]] double smallOpeningsWithin(Millis limit) const
    {
        return shareOf(SmallRoute, [limit](const Request &request) {
            return request.openingDelay && *request.openingDelay <= limit;
        });
    }

    [[nodiscard]] double uploadsWithin(Millis limit) const
    {
        return shareOf(UploadRoute, [limit](const Request &request) {
            return request.finishedAfter && *request.finishedAfter <= limit;
        });
    }

    [[nodiscard]] const BalancerSteeringCounters &counters() const
    {
        return m_balancer->counters();
    }
    /// Data packets that the callers sent again.
    std::size_t retransmissions = 0;

private:
    struct Event
    {
        Instant at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    template <typename Predicate>
    [[nodiscard]] double shareOf(std::size_t route, Predicate holds) const
    {
        std::size_t all = 0;
        std::size_t good = 0;
        for (const Request &request : m_requests) {
            all += request.route == route ? 1 : 0;
            good += request.route == route && holds(request) ? 1 : 0;
        }
        return static_cast<double>(good) / static_cast<double>(all);
    }

    void schedule(Millis delay, std::function<void()> run)
    {
        m_events.push({m_now + delay, m_order++, std::move(run)});
    }

    void tick()
    {
        LoadReport report;
        report.sender = Agent;
        report.limit = 1000;
        m_balancer->onLoadReport(report, m_now);
        m_balancer->onTick(m_now);
        schedule(Millis(20), [this] { tick(); });
    }

    void sendThroughLink(const PacketBytes &bytes, std::function<void()> deliver)
    {
        constexpr double BytesPerMs = LinkMbps * 125;
        constexpr double UdpAndIpHeaderBytes = 28;
        const auto nowMs = static_cast<double>(m_now.time_since_epoch().count());
        m_linkFreeMs = std::max(m_linkFreeMs, nowMs)
            + (static_cast<double>(bytes.size()) + UdpAndIpHeaderBytes) / BytesPerMs;
        schedule(Millis(static_cast<std::int64_t>(std::ceil(m_linkFreeMs - nowMs))) + NetworkDelay,
                 std::move(deliver));
    }

    void start(std::size_t route)
    {
        Request request;
        request.route = route;
        request.startedAt = m_now;
        m_requests.push_back(request);
        startAttempt(m_requests.size() - 1);
    }

    void startAttempt(std::size_t requestIndex)
    {
        constexpr std::size_t AttemptsMax = 3;
        Request &request = m_requests[requestIndex];
        if (request.attempts++ == AttemptsMax) {
            return;
        }
        const std::size_t index = m_attempts.size();
        Attempt attempt;
        attempt.request = requestIndex;
        attempt.key = {{0x64400001 + static_cast<std::uint32_t>(index / 50'000),
                        static_cast<std::uint16_t>(1024 + index % 50'000)},
                       SteeringFleet::routeAddress(request.route)};
        attempt.received.resize(request.route == UploadRoute ? UploadPackets : 1);
        m_attemptOf[attempt.key] = index;
        m_attempts.push_back(attempt);
        sendOpening(index, 0);
        schedule(Millis(200), [this, index] { sendOpening(index, 1); });
        schedule(Millis(600), [this, index] { sendOpening(index, 2); });
        schedule(Millis(1400), [this, index] {
            if (!m_attempts[index].open) {
                onReset(index);
            }
        });
    }

    /// Ends an attempt. Uploads are retried only if the flow never opened.
    void onReset(std::size_t index)
    {
        Attempt &attempt = m_attempts[index];
        if (!attempt.abandoned) {
            attempt.abandoned = true;
            if (!attempt.open) {
                startAttempt(attempt.request);
            }
        }
    }

    void sendToBalancer(const PacketBytes &bytes)
    {
        schedule(NetworkDelay, [this, bytes] {
            m_balancer->onPacket(m_codec.fromCaller(bytes).value(), bytes, m_now);
        });
    }

    void sendOpening(std::size_t index, std::uint32_t copy)
    {
        const Attempt &attempt = m_attempts[index];
        if (!attempt.open && !attempt.abandoned) {
            sendToBalancer(makePacket(attempt.key, true, Syn, 1, copy));
        }
    }

    void sendWindow(std::size_t index)
    {
        constexpr std::size_t WindowPackets = 16;
        Attempt &attempt = m_attempts[index];
        while (attempt.sent < attempt.received.size()
               && attempt.sent < attempt.acknowledged + WindowPackets) {
            sendData(index, attempt.sent++, Millis(200));
        }
    }

    void sendData(std::size_t index, std::size_t packet, Millis timeout)
    {
        const Attempt &attempt = m_attempts[index];
        const Request &request = m_requests[attempt.request];
        if (attempt.abandoned || attempt.acknowledged > packet
            || m_now - request.startedAt > Millis(6000)) {
            return;
        }
        retransmissions += timeout > Millis(200) ? 1 : 0;
        const bool isLast = packet + 1 == UploadPackets;
        const std::uint32_t bytes =
            request.route == SmallRoute ? SmallBytes : (isLast ? UploadLastBytes : PacketDataBytes);
        sendToBalancer(
            makePacket(attempt.key, true, Ack,
                       FirstSequence + static_cast<std::uint32_t>(packet) * PacketDataBytes, 2,
                       std::string(bytes, 'd')));
        schedule(timeout, [this, index, packet, timeout] {
            sendData(index, packet, std::min(timeout * 2, Millis(1600)));
        });
    }

    void onPacketAtUpstream(const PacketBytes &bytes)
    {
        const Segment segment = m_codec.fromCaller(bytes).value();
        const std::size_t index = m_attemptOf.at(segment.flow);
        Attempt &attempt = m_attempts[index];
        if (segment.opens) {
            Request &request = m_requests[attempt.request];
            if (!request.openingDelay) {
                request.openingDelay = m_now - request.startedAt;
            }
            schedule(NetworkDelay, [this, index] { onOpened(index); });
            return;
        }
        if (segment.dataBytes == 0) {
            return;
        }
        attempt.received[(segment.sequence - FirstSequence) / PacketDataBytes] = true;
        const std::size_t before = attempt.receivedInOrder;
        while (attempt.receivedInOrder < attempt.received.size()
               && attempt.received[attempt.receivedInOrder]) {
            ++attempt.receivedInOrder;
        }
        const std::size_t count = attempt.receivedInOrder;
        const bool acknowledges =
            count % 2 == 0 || count == attempt.received.size() || count == before;
        if (acknowledges) {
            schedule(NetworkDelay, [this, index, count] { onAcknowledged(index, count); });
        }
    }

    void onOpened(std::size_t index)
    {
        Attempt &attempt = m_attempts[index];
        if (!attempt.open && !attempt.abandoned) {
            attempt.open = true;
            sendToBalancer(makePacket(attempt.key, true, Ack, FirstSequence, 2));
            sendWindow(index);
        }
    }

    void onAcknowledged(std::size_t index, std::size_t count)
    {
        Attempt &attempt = m_attempts[index];
        attempt.acknowledged = std::max(attempt.acknowledged, count);
        Request &request = m_requests[attempt.request];
        if (attempt.acknowledged == attempt.received.size()) {
            if (!request.finishedAfter) {
                request.finishedAfter = m_now - request.startedAt;
            }
        } else {
            sendWindow(index);
        }
    }

    PacketCodec m_codec;
    Instant m_now {Millis(1'000'000)};
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    Directory m_directory;
    std::unique_ptr<BalancerSteering> m_balancer;
    double m_linkFreeMs = 0;
    std::vector<Request> m_requests;
    std::vector<Attempt> m_attempts;
    std::unordered_map<FlowKey, std::size_t> m_attemptOf;
};

} // namespace

// Guards against uploads that fill the link of a small balancer: small opening packets waited
// behind them, and retransmissions added load that nobody needed. The link is loaded to 83 %, so it
// fills at some times only: uploads in time are compared over all seeds together.
TEST(EntryLinkReplay, UploadsDoNotFillTheLink)
{
    constexpr Millis Duration {30'000};
    constexpr double UploadsPerSecond = 22;
    constexpr double SmallPerSecond = 100;
    double uploadsWith = 0;
    double uploadsWithout = 0;
    std::string figures;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        LinkReplay without(0);
        without.run(Duration, UploadsPerSecond, SmallPerSecond, seed);
        LinkReplay with(LinkMbps * 2); // the setting counts both directions
        with.run(Duration, UploadsPerSecond, SmallPerSecond, seed);
        const auto describe = [](const LinkReplay &replay) {
            return "small openings within 100 ms "
                + std::to_string(replay.smallOpeningsWithin(Millis(100)))
                + ", uploads within 800 ms " + std::to_string(replay.uploadsWithin(Millis(800)))
                + ", retransmissions " + std::to_string(replay.retransmissions) + ", held "
                + std::to_string(replay.counters().openingsHeldForLink) + ", refused "
                + std::to_string(replay.counters().openingsRefusedForLink) + ", repeats dropped "
                + std::to_string(replay.counters().repeatsDropped);
        };
        figures += "seed " + std::to_string(seed) + " without: " + describe(without)
            + "; with: " + describe(with) + "\n";
        EXPECT_GE(with.smallOpeningsWithin(Millis(100)), 0.99) << "seed " << seed;
        uploadsWith += with.uploadsWithin(Millis(800));
        uploadsWithout += without.uploadsWithin(Millis(800));
    }
    RecordProperty("figures", figures);
    EXPECT_GT(uploadsWith, uploadsWithout) << figures;
}
