/// @file
/// Liveness information spread by gossip; a live process refutes suspicions about itself.
#pragma once

#include <bergamotglade/detail/node/packet.hpp>

#include <unordered_map>

namespace bergamotglade {

/// The newest rumor about each process. Suspicion only reorders candidates, so a false suspicion
/// costs an extra hop but does not break flows.
class RumorTable
{
public:
    /// @param self endpoint of this process, which refutes suspicions about itself
    /// @param ttl time after which a rumor that is not renewed is removed
    RumorTable(Endpoint self, Millis ttl);

    /// @brief Marks a process as silent; a repeated call renews the rumor on all processes.
    void markSuspect(const Endpoint &subject, Instant now);
    /// @brief Announces that this process is leaving, or cancels that.
    /// @return whether the state changed
    bool setLeaving(bool leaving, Instant now);
    /// @brief Refutes the suspicion of a process that was heard from.
    void markAlive(const Endpoint &subject, Instant now);
    /// @brief Handles a rumor received from a peer.
    /// @return whether it was newer than the known one
    bool onRumor(const Rumor &rumor, Instant now);

    /// @brief Whether new flows should avoid the process because it is silent or leaving.
    [[nodiscard]] bool isSuspect(const Endpoint &subject) const;
    /// @brief Whether the process has announced that it is leaving.
    [[nodiscard]] bool isLeaving(const Endpoint &subject) const;
    /// @brief Whether this process has announced that it is leaving.
    [[nodiscard]] bool isSelfLeaving() const noexcept { return m_leaving; }
    /// @brief Returns rumors to send to a peer; each is returned a fixed number of times.
    /// @param maxCount maximum number of rumors returned
    std::vector<Rumor> takePending(std::size_t maxCount);
    void expire(Instant now);
    [[nodiscard]] std::size_t size() const noexcept { return m_rumors.size(); }

private:
    struct Entry
    {
        Rumor rumor;
        Instant updatedAt;
        std::uint32_t sendsLeft = 0;
    };

    void store(const Rumor &rumor, Instant now);
    [[nodiscard]] std::uint64_t nextCounter(const Endpoint &subject) const;

    Endpoint m_self;
    Millis m_ttl;
    bool m_leaving = false;
    std::unordered_map<Endpoint, Entry> m_rumors;
};

} // namespace bergamotglade
