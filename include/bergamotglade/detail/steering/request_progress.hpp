/// @file
/// Arrival of the requests of one flow at its upstream, judged by sequence numbers and lengths.
///
/// Load pattern: many uploads over links that take longer to carry a request than the upstream
/// takes to serve it. Requests that are still arriving must not occupy the upstream's slots.
#pragma once

#include <bergamotglade/detail/steering/segment.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace bergamotglade {

/// Stages of a request as its agent sees it.
enum class RequestStage : std::uint8_t {
    None, ///< no request, or its answer has begun
    Arriving, ///< a part of the request has not arrived at the upstream
    Running, ///< all of the request has arrived, and no answer has begun
};

/// State machine without I/O. It allocates memory only while a packet is missing.
class RequestProgress
{
public:
    /// A request whose last packet is full counts as complete after this long without new data: a
    /// gap between two packets of one window is shorter, and the first retransmission comes after
    /// 200 ms.
    static constexpr Millis QuietTimeout {50};
    /// Maximum number of packets that a caller has in flight.
    static constexpr std::uint32_t WindowPackets = 16;

    [[nodiscard]] RequestStage stage() const noexcept;

    /// @brief Handles a packet of the caller.
    /// @param dataBytesMax maximum data bytes of a packet; one with less data ends a request
    void onCallerPacket(const Segment &segment, std::uint32_t dataBytesMax, Instant now);
    /// @brief Sets the sequence number of the first data, unless data is known already.
    void start(std::uint32_t sequence);
    /// @brief Handles the acknowledgement number of the upstream: it has all bytes before it.
    /// @param dataBytesMax as in onCallerPacket()
    void onAcknowledged(std::uint32_t sequence, std::uint32_t dataBytesMax, Instant now);
    /// @brief Handles the beginning of an answer, which ends the request.
    /// @return time that the request has run; empty if it had not arrived completely
    std::optional<Millis> onAnswer(Instant now);
    /// @brief Completes an arriving request of which nothing is missing and nothing new came for
    /// QuietTimeout.
    void checkQuiet(Instant now);
    /// @brief Forgets the request and the sequence numbers.
    void clear();

private:
    enum class State : std::uint8_t {
        Idle,
        Arriving,
        Running,
        /// Running by QuietTimeout: further data proves that the request was not complete.
        AssumedRunning,
        /// The answer began before the request had arrived; the rest of it counts as nothing.
        Discarding,
    };
    /// Data of one packet that arrived before the data in front of it.
    struct Part
    {
        std::uint32_t begin;
        std::uint32_t end;
        bool endsRequest;
    };

    void store(const Part &part);
    /// @brief Appends the stored parts that are no longer preceded by a missing packet.
    void appendStored();
    void advance(std::uint32_t end, bool endsRequest);
    /// @param wasPacketMissing whether a packet was missing before the data came
    void onNewData(bool wasPacketMissing, Instant now);
    [[nodiscard]] bool isPacketMissing() const noexcept { return m_stored != nullptr; }

    /// Stored parts in the order of their sequence numbers; null if there are none.
    std::unique_ptr<std::vector<Part>> m_stored;
    /// While a request arrives, when the last new data came; while it runs, when it was complete.
    Instant m_lastDataAt;
    std::uint32_t m_next = 0; ///< sequence number after the data that arrived without a gap
    bool m_isNextKnown = false;
    bool m_endsRequest = false; ///< the data before m_next ends a request
    State m_state = State::Idle;
};

} // namespace bergamotglade
