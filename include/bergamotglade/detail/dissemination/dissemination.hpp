/// @file
/// Brings the newest document to this process: few read the platform, the others learn from peers.
#pragma once

#include <bergamotglade/detail/config/store.hpp>
#include <bergamotglade/detail/core/random.hpp>
#include <bergamotglade/detail/membership/pause_detector.hpp>
#include <bergamotglade/detail/membership/rumors.hpp>

#include <deque>
#include <functional>

namespace bergamotglade {

/// One line of the platform's lagging VM list.
struct Vm
{
    VmId id;
    FailureDomainId domain;
    /// Where the VM's process of the system listens, UDP and TCP alike.
    Endpoint endpoint;
    bool leaving = false;
};

struct DisseminationSettings
{
    Endpoint self;
    VmId vm;
    FailureDomainId domain;
    Incarnation incarnation;
    std::vector<Endpoint> seeds; ///< peers to ask while the platform is down
    Millis gossipInterval {1000}; ///< between two exchanges of versions
    Millis lease {2000}; ///< a timer later than this means a pause
    Millis confirmBound {3000}; ///< longest wait for a confirmation
    Millis readerLease {3000}; ///< silence of readers before the next in rank steps in
    Millis retryMin {500}; ///< first wait after the platform failed
    Millis retryMax {30'000}; ///< longest wait after the platform failed
    Millis vmListInterval {3'600'000}; ///< between two readings of the VM list
    Mechanisms mechanisms;
    std::size_t readersPerDomain = 2;
    /// Rank as a reader of a VM that the list does not name: it steps in after the listed ones.
    std::size_t unlistedRank = 8;
    /// Asks the readers of the own failure domain at each round, not a random peer only.
    bool asksReaders = false;
    /// What the platform removes within this time of its return may only have expired while it
    /// was away.
    Millis lapseWindow {4000};
    /// Without a reply of any agent for this long the process is cut off. When a reply is late it
    /// asks several agents, four times as often.
    Millis isolation {1500};
    std::size_t fanOut = 4; ///< peers told of a new version at once
};

struct DisseminationCounters
{
    std::uint64_t noticesSent = 0;
    std::uint64_t noticesReceived = 0;
    std::uint64_t peerFetches = 0;
    std::uint64_t platformReads = 0;
    std::uint64_t platformFailures = 0;
    std::uint64_t platformStale = 0;
    std::uint64_t pauses = 0;
};

struct DisseminationHooks
{
    std::function<void(const Endpoint &peer, const Notice &)> sendNotice;
    /// Answered by onPeerBatch() or onPeerFailed().
    std::function<void(const Endpoint &peer, Revision since)> fetchFromPeer;
    /// Answered by onPlatformBatch() or onPlatformFailed(). A watch waits for a change.
    std::function<void(Revision since, bool watch)> readPlatform;
    /// Answered by onVmList() or onPlatformFailed().
    std::function<void()> readVmList;
    /// Called after a change came into force.
    std::function<void()> onChange;
    /// Reads sections of another form of document; none for the YAML form.
    SectionTaker takeSection;
    /// Where agents listen for notices; none for those that the YAML document names.
    std::function<std::vector<Endpoint>()> agents;
};

/// State machine without I/O. Feed it events with the time of each.
class Dissemination
{
public:
    Dissemination(DisseminationSettings settings, DisseminationHooks hooks, Random random);

    /// @name Events
    /// @{

    void start(Instant now);
    /// @brief Call at least every 200 ms.
    void onTick(Instant now);
    void onNotice(const Notice &notice, Instant now);
    void onPeerBatch(const ChangeBatch &batch, Instant now);
    void onPeerFailed(Instant now);
    void onPlatformBatch(const ChangeBatch &batch, Instant now);
    void onPlatformFailed(Instant now);
    void onVmList(const std::vector<Vm> &vms, Instant now);
    /// @brief A packet showed a peer's version; tells a peer that is behind, asks one that is
    /// ahead.
    void onVersionSeen(const Endpoint &peer, Revision version, Instant now);
    /// @brief The process is about to stop, or stays after all: peers are told.
    void setLeaving(bool leaving, Instant now);
    /// @brief Notes the time; true when the process may act on its view.
    bool mayAct(Instant now);

    /// @}
    /// @name State
    /// @{

    [[nodiscard]] const ConfigStore &store() const noexcept { return m_store; }
    [[nodiscard]] const View &view() const noexcept { return m_store.view(); }
    [[nodiscard]] Revision revision() const noexcept { return m_store.revision(); }
    [[nodiscard]] RumorTable &rumors() noexcept { return m_rumors; }
    [[nodiscard]] const RumorTable &rumors() const noexcept { return m_rumors; }
    [[nodiscard]] const DisseminationCounters &counters() const noexcept { return m_counters; }
    [[nodiscard]] bool isReady(Instant now) const;
    /// @brief Whether an agent answered a question of this process lately: packets pass both ways.
    /// Other balancers prove nothing, they may be cut off together. True where no agent is known.
    [[nodiscard]] bool isConnected(Instant now) const;
    [[nodiscard]] bool isReader() const noexcept { return m_isReader; }
    [[nodiscard]] Millis platformAge(Instant now) const;
    /// @brief Every process that this one could ask.
    [[nodiscard]] std::vector<Endpoint> peers() const;
    [[nodiscard]] const DisseminationSettings &settings() const noexcept { return m_settings; }

    /// @}

private:
    void sendNotice(const Endpoint &peer, bool wantsReply, std::uint64_t echo, Instant now,
                    bool introduces = false);
    void onOwnNotice(const Notice &notice);
    void tellSome(std::size_t count, bool wantsReply, Instant now);
    void tellSomeOf(std::vector<Endpoint> some, std::size_t count, bool wantsReply, Instant now);
    [[nodiscard]] bool isAgent(const Endpoint &peer) const;
    void fetch(const Endpoint &peer, Instant now);
    void readPlatform(Instant now);
    void readVmList(Instant now);
    void scheduleRetry(Instant now);
    void take(const ChangeBatch &batch, Instant now);
    void confirm(Instant since);
    void updateRank(const std::vector<Vm> &vms);
    [[nodiscard]] bool lacksReply(Instant now) const;
    void findAgents();
    void askReaders(Instant now);
    [[nodiscard]] bool shouldRead(Instant now) const;
    void introduce(const Endpoint &peer);
    void remember(const Endpoint &peer);

    DisseminationSettings m_settings;
    DisseminationHooks m_hooks;
    Random m_random;
    ConfigStore m_store;
    PauseDetector m_pause;
    RumorTable m_rumors;
    DisseminationCounters m_counters;

    std::vector<Vm> m_vms;
    std::vector<Endpoint> m_readers; ///< of the own failure domain, by rank
    std::deque<Endpoint> m_recent; ///< peers heard lately, newest last
    std::deque<Endpoint> m_introduced; ///< peers that others named when this process started
    std::vector<Endpoint> m_agents; ///< agents of the document
    std::size_t m_rank = 0;
    bool m_isReader = false;
    bool m_platformBusy = false;
    bool m_platformAnswered = false;
    bool m_confirmedOnce = false;
    std::uint64_t m_probe = 1; ///< number of the question asked last; a pause asks anew
    Instant m_probeAt;
    Instant m_readSince;
    Endpoint m_fetching;
    Instant m_fetchSince;
    Instant m_started;
    Instant m_platformAt; ///< when the platform last confirmed our revision, as far as known
    Instant m_nextGossip;
    Instant m_nextRead;
    Instant m_nextVmList;
    Instant m_platformFailedAt;
    Instant m_nextAsk; ///< when agents are asked again while a reply is late
    Instant m_repliedAt; ///< when an agent answered last
    std::uint64_t m_rounds = 0;
    Millis m_retry {};
    Millis m_listRetry {};
};

} // namespace bergamotglade
