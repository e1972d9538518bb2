/// @file
/// Replicates the configuration document: a few processes per failure domain read it from the
/// platform, the others receive it from peers by gossip.
#pragma once

#include <bergamotglade/detail/config/store.hpp>
#include <bergamotglade/detail/core/random.hpp>
#include <bergamotglade/detail/dissemination/view_confirmation.hpp>
#include <bergamotglade/detail/membership/pause_detector.hpp>
#include <bergamotglade/detail/membership/rumors.hpp>

#include <deque>
#include <functional>
#include <limits>

namespace bergamotglade {

/// One entry of the platform's VM list, which may be out of date.
struct Vm
{
    VmId id;
    FailureDomainId domain;
    /// Address of the agent or balancer on the VM, for both UDP and TCP.
    Endpoint endpoint;
    bool leaving = false; ///< about to stop; skipped when peers and readers are taken from the list
};

struct DisseminationSettings
{
    Endpoint self;
    VmId vm;
    FailureDomainId domain;
    Incarnation incarnation;
    /// Peers known from the settings, contacted at the start, so that the process can get the
    /// document while the platform is down.
    std::vector<Endpoint> seeds;
    Millis gossipInterval {1000}; ///< between two exchanges of revisions with a peer
    Millis pauseThreshold {2000}; ///< a longer gap between events counts as a pause
    /// After a start or a pause, the view is used without confirmation once this time has passed.
    Millis confirmationTimeout {3000};
    /// Multiples of this value are thresholds of platformAge(). Above one, gossip with
    /// `asksReaders` also queries the second VM by rank. VMs that are not readers start to read the
    /// platform one after the other: the first by rank above two, each further one above one more.
    Millis readerTimeout {3000};
    /// After an answer with changes, the next watch starts this much later. Each answer is a call
    /// that counts, and changes come in series: upstreams register again after an outage, a release
    /// replaces one after the other.
    Millis changeCoalescingTime {0};
    Millis retryMin {500}; ///< first retry delay after a platform failure
    Millis retryMax {30'000}; ///< longest retry delay after a platform failure
    Millis vmListInterval {3'600'000}; ///< between two reads of the VM list
    Mechanisms mechanisms;
    /// Processes per failure domain that read the platform: those with the lowest ranks.
    std::size_t readersPerDomain = 2;
    /// Failure domains whose VMs read the platform all the time; the same ones in all processes.
    /// The first VM of each other domain asks their readers.
    std::size_t readingDomains = std::numeric_limits<std::size_t>::max();
    /// The VMs of the other domains start to read this much later than they would otherwise: their
    /// view is confirmed by way of up to two more processes.
    Millis passiveDomainDelay {900};
    /// Added to the reader rank of a VM that is missing from the VM list, so that it takes over
    /// later.
    std::size_t unlistedRank = 8;
    /// Whether each gossip round contacts a reader of the own failure domain. Once the view is
    /// confirmed, a random peer is contacted only in every fourth round, and in each round while a
    /// reply is overdue.
    bool asksReaders = false;
    /// A removal that the platform reports within this time after a failed read is marked as
    /// lapsed, since it may only be a lease that expired during the outage.
    Millis postOutageWindow {4000};
    /// Without a reply from any agent for this long, the process counts as isolated. After one and
    /// a half gossip intervals without one, a reply is overdue: the process then queries several
    /// agents at once, four times per gossip interval.
    Millis isolationTimeout {1500};
    std::size_t fanOut = 4; ///< peers notified at once of a new revision
    /// Longest time that news of the platform takes to reach all processes by way of others, while
    /// the platform may be slow to answer.
    Millis spreadTimeMax {1500};
};

struct DisseminationCounters
{
    std::uint64_t noticesSent = 0;
    std::uint64_t noticesReceived = 0;
    std::uint64_t peerFetches = 0;
    std::uint64_t platformReads = 0;
    std::uint64_t platformFailures = 0;
    std::uint64_t platformStale = 0; ///< answers older than the stored revision, ignored
    std::uint64_t pauses = 0;
    std::uint64_t eraChanges = 0; ///< times that the platform was restored from a copy
};

struct DisseminationHooks
{
    std::function<void(const Endpoint &peer, const Notice &)> sendNotice;
    /// Answered by onPeerBatch() or onPeerFailed().
    std::function<void(const Endpoint &peer, Revision since)> fetchFromPeer;
    /// Answered by onPlatformBatch() or onPlatformFailed(). With `watch`, the answer waits for a
    /// change after `since`, up to a maximum that the hook sets.
    std::function<void(Revision since, bool watch)> readPlatform;
    /// Answered by onVmList(). A failure is not reported; the read is repeated after a delay.
    std::function<void()> readVmList;
    /// Called after a change has taken effect.
    std::function<void()> onChange;
    /// Called after the platform has confirmed the view, see ViewConfirmation.
    std::function<void()> onConfirmed;
    std::function<void(const Endpoint &reader, const ConfirmationQuery &)> sendConfirmationQuery;
    std::function<void(const Endpoint &process, const ConfirmationAnswer &)> sendConfirmationAnswer;
    /// Reads the platform without waiting for a change, beside a read by readPlatform(). Answered
    /// by onConfirmationBatch() or onConfirmationFailed().
    std::function<void(Revision since)> confirmView;
    /// Applies sections of another document format; empty for the YAML format.
    SectionHandler applySection;
    /// Order of the contents of a section; empty if contents have none.
    ContentOrder contentOrder;
    /// Called when the view has moved to a higher era, because the platform was restored from a
    /// copy.
    std::function<void(Revision before, Revision after)> onEraChange;
    /// Returns the agents to gossip with. If the hook is not set, those of the YAML document are
    /// used.
    std::function<std::vector<Endpoint>()> agents;
};

/// State machine without I/O; driven by events, each with its time.
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
    void onConfirmationBatch(const ChangeBatch &batch, Instant now);
    void onConfirmationFailed(Instant now) { m_confirmation.onReadFailed(now); }
    void onConfirmationQuery(const ConfirmationQuery &query, Instant now);
    void onConfirmationAnswer(const ConfirmationAnswer &answer, Instant now);
    void onVmList(const std::vector<Vm> &vms, Instant now);
    /// @brief Handles the revision that a packet of a peer carries: notifies a peer with an older
    /// revision, fetches from one with a newer revision.
    void onRevisionSeen(const Endpoint &peer, Revision peerRevision, Instant now);
    /// @brief Tells peers that the process is about to stop, or that it no longer is.
    void setLeaving(bool leaving, Instant now);
    /// @brief Asks for a confirmation of the view, see ViewConfirmation::request().
    void requestConfirmation(Instant now);
    /// @brief Checks for a pause since the last call.
    /// @return whether the process is ready and, after a pause, its view has been confirmed again
    /// or the confirmation has timed out
    bool mayAct(Instant now);

    /// @}
    /// @name State
    /// @{

    [[nodiscard]] const ConfigStore &store() const noexcept { return m_store; }
    [[nodiscard]] const ConfigView &view() const noexcept { return m_store.view(); }
    [[nodiscard]] Revision revision() const noexcept { return m_store.revision(); }
    [[nodiscard]] RumorTable &rumors() noexcept { return m_rumors; }
    [[nodiscard]] const RumorTable &rumors() const noexcept { return m_rumors; }
    [[nodiscard]] const DisseminationCounters &counters() const noexcept { return m_counters; }
    /// @brief Whether the view can be used: a valid root is stored, and the view is complete and
    /// was confirmed once, or confirmationTimeout has passed since the start.
    [[nodiscard]] bool isReady(Instant now) const;
    /// @brief Whether an agent has replied to this process recently, so that packets pass in both
    /// directions. Replies of balancers do not count, since several balancers may be isolated
    /// together. True while no agent is known.
    [[nodiscard]] bool isConnected(Instant now) const;
    [[nodiscard]] bool isReader() const noexcept { return m_isReader; }
    /// @brief Time since the platform last confirmed the revision then held, by an own read or as
    /// reported by a peer; 24 h if it has not been confirmed yet.
    [[nodiscard]] Millis platformAge(Instant now) const;
    /// @brief Whether the view contains all that the platform had acknowledged at `since`: a read
    /// of the platform that started later returned nothing newer, or another process reports this
    /// of a time spreadTimeMax later. Also if this process did not reach the platform after `since`
    /// and none has reached it for spreadTimeMax: the platform then cannot tell any process more.
    [[nodiscard]] bool isConfirmedSince(Instant since, Instant now) const;
    /// @brief All processes that this one can contact.
    [[nodiscard]] std::vector<Endpoint> peers() const;
    [[nodiscard]] const DisseminationSettings &settings() const noexcept { return m_settings; }
    [[nodiscard]] const ViewConfirmationCounters &confirmationCounters() const noexcept
    {
        return m_confirmation.counters();
    }

    /// @}

private:
    void sendNotice(const Endpoint &peer, bool wantsReply, std::uint64_t echo, Instant now,
                    bool introduces = false);
    void onSelfNotice(const Notice &notice);
    void notifyRandomPeers(std::size_t count, bool wantsReply, Instant now);
    void notifyRandom(std::vector<Endpoint> candidates, std::size_t count, bool wantsReply,
                      Instant now);
    [[nodiscard]] bool isAgent(const Endpoint &peer) const;
    void fetch(const Endpoint &peer, Instant now);
    void readPlatform(Instant now);
    void readVmList(Instant now);
    void scheduleRetry(Instant now);
    void applyPlatformBatch(const ChangeBatch &batch, Instant now);
    void applyBatch(const ChangeBatch &batch, Instant now);
    [[nodiscard]] ViewConfirmationHooks confirmationHooks();
    /// @brief Readers of the platform that answer for this process, the preferred one first.
    [[nodiscard]] std::vector<Endpoint> readers() const;
    void confirm(Instant since);
    void updateReaders(const std::vector<Vm> &vms);
    void updateReadingDomains(const std::vector<Vm> &vms);
    /// @brief Age of the platform's confirmation above which other processes are asked for it.
    [[nodiscard]] Millis staleAge() const;
    [[nodiscard]] bool isReplyOverdue(Instant now) const;
    void updateAgents();
    void askReaders(Instant now);
    [[nodiscard]] bool shouldReadPlatform(Instant now) const;
    void addIntroducedPeer(const Endpoint &peer);
    void addRecentPeer(const Endpoint &peer);

    DisseminationSettings m_settings;
    DisseminationHooks m_hooks;
    Random m_random;
    ConfigStore m_store;
    PauseDetector m_pauseDetector;
    ViewConfirmation m_confirmation;
    RumorTable m_rumors;
    DisseminationCounters m_counters;

    std::vector<Vm> m_vms;
    std::vector<Endpoint> m_vmsByRank; ///< listed VMs of the own failure domain, readers first
    bool m_isDomainPassive = false; ///< the own failure domain is not one of the reading ones
    std::vector<Endpoint> m_remoteReaders; ///< first VM of each reading domain other than the own
    std::deque<Endpoint> m_recentPeers; ///< peers heard from recently, newest last
    /// Peers named in the replies received while the view was not confirmed.
    std::deque<Endpoint> m_introducedPeers;
    std::vector<Endpoint> m_agents; ///< agents of the document, or those that the hook returns
    std::size_t m_readerRank = 0; ///< 0, thus a reader, until the first VM list arrives
    bool m_isReader = false;
    bool m_platformReadPending = false;
    bool m_platformAnswered = false;
    bool m_confirmedOnce = false;
    /// The current era was entered by an own read: peers may hold newer content, see ContentOrder,
    /// under the same revision.
    bool m_fullFetchDue = false;
    std::uint64_t m_probe = 1; ///< increases at each pause; replies to older probes confirm nothing
    Instant m_probeStartedAt;
    Instant m_readStartedAt;
    Endpoint m_fetchPeer;
    Instant m_fetchStartedAt;
    Instant m_startedAt;
    Instant m_platformConfirmedAt; ///< platformAge() counts from here
    /// When any process last reached the platform, as far as known, whatever revision it holds.
    Instant m_platformReachedAt;
    Instant m_failedReadStartedAt; ///< when the latest failed readPlatform() had started
    Instant m_viewChangedAt;
    Instant m_nextGossip;
    Instant m_nextPlatformRead;
    Instant m_nextVmList;
    Instant m_platformFailedAt;
    Instant m_nextAgentQuery; ///< when agents are queried again while a reply is overdue
    Instant m_lastReplyAt; ///< when an agent last replied
    std::uint64_t m_gossipRounds = 0;
    Millis m_platformRetry {}; ///< delay before the next platform retry, without jitter
    Millis m_vmListRetry {}; ///< delay before the next read of the VM list, without jitter
};

} // namespace bergamotglade
