/// @file
/// Simulated fleet: state machines on a virtual clock, connected by a network that loses,
/// duplicates, delays and reorders messages. Uses no real time and no sockets.
#pragma once

#include <bergamotglade/detail/caller/caller_node.hpp>
#include <bergamotglade/detail/node/agent_node.hpp>
#include <bergamotglade/detail/node/balancer_node.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace bergamotglade::tests {

/// All mechanisms except the one named by the environment variable GLADE_WITHOUT.
[[nodiscard]] Mechanisms mechanismsUnderTest();

/// Probabilities of message faults, and the range of delays.
struct NetworkFaults
{
    double loss = 0;
    double duplicate = 0;
    Millis delayMin {1};
    Millis delayMax {1};
};

struct FleetOptions
{
    std::uint64_t seed = 1;
    std::size_t domains = 3;
    std::size_t balancers = 3;
    std::size_t upstreams = 5; ///< of the service "kits"
    std::size_t otherUpstreams = 0; ///< of the service "lists"
    std::size_t slots = 9; ///< requests that each upstream processes concurrently
    Millis serviceTime {20}; ///< processing time of a request at an upstream
    NetworkFaults data; ///< packets of callers, balancers and agents, and the answers
    /// Notices, load reports and hand-overs. Fetches between peers use TCP: only the delays apply.
    NetworkFaults control;
};

class TestFleet;

/// A simulated process that can be frozen, killed and restarted.
struct Host
{
    std::string name;
    Endpoint endpoint;
    VmId vm;
    FailureDomainId domain;
    bool alive = true;
    bool frozen = false;
    /// Incremented by start() and kill(); messages to an earlier generation are lost.
    std::uint64_t generation = 0;
    std::vector<std::function<void()>> inbox; ///< events received while frozen
    std::unique_ptr<Dissemination> dissemination;
    std::unique_ptr<AgentNode> agent;
    std::unique_ptr<BalancerNode> balancer;
    std::string upstream; ///< id of the agent's upstream; empty for balancers
    ServiceName service;
    std::uint64_t packets = 0; ///< data packets delivered
    std::uint64_t controlBytes = 0; ///< sent and received, with headers
    std::uint64_t vmListReads = 0;
};

/// Simulated upstream of an agent; counts the requests it gets.
struct FakeUpstream
{
    ServiceName service;
    Millis serviceTime {20};
    std::size_t slots = 9; ///< requests processed concurrently; others wait
    std::size_t active = 0; ///< requests in process
    std::size_t maxConcurrent = 0; ///< highest number of active and waiting requests
    /// Number of concurrent requests above which it answers 503 from then on; 0 for never.
    std::size_t collapseAbove = 0;
    bool collapsed = false;
    std::uint64_t collapses = 0;
    std::uint64_t wrongService = 0; ///< requests of other services
    std::queue<std::function<void()>> waiting;
};

/// A simulated caller.
struct TestCaller
{
    Endpoint endpoint;
    Endpoint service;
    std::unique_ptr<CallerNode> node;
};

/// One request of a caller and its result.
struct CallRecord
{
    std::string method;
    std::string target;
    bool done = false;
    CallResult result;
};

class TestFleet
{
public:
    explicit TestFleet(const FleetOptions &options);
    ~TestFleet();

    /// @name Time
    /// @{
    [[nodiscard]] Instant now() const { return m_now; }
    void run(Millis time);
    /// @brief Runs until the condition holds, for at most `time`.
    /// @return whether the condition holds
    bool runUntil(const std::function<bool()> &condition, Millis time);
    /// @brief Schedules an event.
    void after(Millis delay, std::function<void()> event);
    /// @}

    /// @name The document and the platform
    /// @{
    /// @brief Publishes the document with the current states of entry() and domain().
    void publish();
    /// @brief Publishes one section; its revision increases only if the text differs.
    void publishText(const std::string &section, const std::string &text);
    FailureDomain &domain(std::size_t index) { return m_domains.at(index); }
    /// @brief Entry of an upstream in the document, which may be edited before publish().
    Upstream &entry(const std::string &upstream);
    void removeEntry(const std::string &upstream);
    /// @brief Publishes the root section and the one of "lists".
    void publishOtherSections();
    /// @param down calls to the platform fail
    /// @param stale the platform keeps returning the contents that it had when this was first set
    void setPlatform(bool down, bool stale);
    /// @brief Resets the platform to the contents it had at a revision.
    void rewindPlatform(Revision revision);
    /// @brief Disconnects a failure domain from the platform, or reconnects it.
    void disconnectPlatform(const std::string &domain, bool isDisconnected);
    /// @brief Blocks all configuration updates to a host; its data packets still pass.
    void blockUpdates(const std::string &host) { m_updatesBlocked = host; }
    [[nodiscard]] Revision platformRevision() const { return m_revision; }
    [[nodiscard]] std::uint64_t vmListReads(const std::string &name)
    {
        return host(name).vmListReads;
    }
    [[nodiscard]] std::uint64_t platformCalls() const { return m_platformCalls; }
    [[nodiscard]] bool isUpToDateEverywhere() const;
    Endpoint kitsAddress {0x0a010001, 80};
    Endpoint listsAddress {0x0a010002, 80};
    ServiceName kitsName {"kits"}; ///< may be edited before publish()
    /// @}

    /// @name Faults
    /// @{
    /// @brief Pauses a process; events that it receives are queued until wake().
    void freeze(const std::string &host);
    void wake(const std::string &host);
    void kill(const std::string &host);
    void start(const std::string &host);
    void disconnect(std::function<bool(const Host &, const Host &)> isDisconnected)
    {
        m_isDisconnected = std::move(isDisconnected);
    }
    /// @}

    /// @name Traffic
    /// @{
    TestCaller &addCaller(const std::string &service = "kits");
    std::vector<TestCaller *> addCallers(int count);
    /// @brief Sends one request; its result appears in calls().
    void submit(TestCaller &caller, const std::string &method, const std::string &target,
                Millis deadline = Millis(2000));
    [[nodiscard]] const std::vector<std::unique_ptr<CallRecord>> &calls() const { return m_calls; }
    /// @brief Number of times that upstreams have run the requests with this target.
    [[nodiscard]] std::uint64_t runsOf(const std::string &target) const;
    [[nodiscard]] std::uint64_t brokenFlows() const;
    [[nodiscard]] std::uint64_t movedFlows() const;
    /// @brief Checks the invariants that hold under any fault; one line per violation.
    [[nodiscard]] std::vector<std::string> violations() const;
    /// @brief Body of the answer to a target, at least as long as its `size=` parameter.
    static std::string bodyFor(const std::string &target, std::uint64_t run);
    bool bodiesVary = false; ///< each run of a request returns a different body
    /// @}

    Host &host(const std::string &name) { return *m_hosts.at(name); }
    FakeUpstream &upstream(const std::string &id) { return m_upstreams.at(id); }
    [[nodiscard]] std::vector<std::string> hostNames(const std::string &prefix) const;
    FleetOptions options;

private:
    struct Event
    {
        Instant at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct Value
    {
        Revision revision;
        std::string text;
    };

    void addHost(const std::string &name, const Endpoint &endpoint, std::size_t domain);
    void boot(Host &host);
    void bootAgent(Host &host);
    void tick(Host &host, std::uint64_t generation);
    void deliver(Host &host, std::function<void()> action);
    /// Sends a message between two hosts, subject to the network faults.
    void transmit(const Host *from, Host &to, const NetworkFaults &faults,
                  const std::function<void()> &action);
    Host *hostAt(const Endpoint &endpoint);
    void platformRead(Host &host, Revision since, bool watch);
    [[nodiscard]] ChangeBatch platformBatch(Revision since) const;
    void toCaller(const Endpoint &caller, const Response &response);
    void callerTick(TestCaller &caller);
    void runAtUpstream(Host &host, RunId run, const Request &request);
    [[nodiscard]] std::string serviceText(bool kits) const;
    [[nodiscard]] double uniformReal();
    [[nodiscard]] Millis delay(const NetworkFaults &faults);

    Mechanisms m_mechanisms = mechanismsUnderTest();
    Random m_random;
    Instant m_now {Millis(1'000'000)};
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    std::map<std::string, std::unique_ptr<Host>> m_hosts;
    std::map<std::string, FakeUpstream> m_upstreams;
    std::vector<FailureDomain> m_domains;
    std::vector<Upstream> m_entries;
    std::map<std::string, Value> m_values; ///< contents of the platform by section
    std::map<std::string, Value> m_oldValues; ///< contents returned while the platform is stale
    std::map<Revision, std::map<std::string, Value>> m_history;
    std::string m_disconnectedDomain;
    std::string m_updatesBlocked;
    Revision m_revision;
    Revision m_oldRevision;
    bool m_down = false;
    bool m_stale = false;
    std::uint64_t m_platformCalls = 0;
    std::function<bool(const Host &, const Host &)> m_isDisconnected;
    std::vector<std::unique_ptr<TestCaller>> m_callers;
    std::vector<std::unique_ptr<CallRecord>> m_calls;
    std::map<std::string, Request> m_requests; ///< by the packet payload that stands for each
    std::map<std::string, std::uint64_t> m_runs; ///< by target
};

} // namespace bergamotglade::tests
