// Stand-ins for a small deployment: store, router, hosts and clients in one process, and the
// project's daemons as child processes on loopback addresses.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

using Ms = std::int64_t;

/// Milliseconds since the start of the program, by the steady clock.
Ms now();
/// False if the environment has TROUBLE=0: the disruption of the case is left out.
bool isTroubleOn();

struct Address
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    friend auto operator<=>(const Address &, const Address &) = default;
    [[nodiscard]] std::string str() const;
};

enum Flag : std::uint8_t { Syn = 128, Rst = 64, Bounced = 32, Fin = 4, Ack = 1 };

/// Fields of a packet, decoded.
struct Packet
{
    std::uint32_t sum = 0;
    std::uint32_t echo = 0;
    std::uint8_t flags = 0;
    std::uint8_t pad = 0;
    Address source;
    Address target;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::string data;

    /// The keyed sum of the two ends.
    [[nodiscard]] std::uint32_t keyedSum() const;
    [[nodiscard]] std::string encode() const;
    static bool decode(const std::string &bytes, Packet &packet);
};

class World;

/// A machine with one daemon.
class Machine
{
public:
    std::string name;
    std::string zone;
    std::uint32_t ip = 0;
    std::string service; ///< empty on the machine of a balancer
    pid_t pid = 0;
    bool inRotation = false;
    int missedProbes = 0;
    Ms startedAt = 0;

    [[nodiscard]] bool isBalancer() const { return service.empty(); }
};

/// The platform's store.
class Store
{
public:
    explicit Store(World &world);
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /// While silent, the store accepts calls and answers none; their connections are closed when
    /// the outage ends.
    void setSilent(bool silent);
    /// Waiting time before each answer.
    Ms answerDelay = 4;

private:
    friend class World;
    struct Event
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };
    struct Connection
    {
        int fd = -1;
        std::string input;
        bool waiting = false; ///< a watch waits for a change
        std::uint64_t after = 0;
        Ms deadline = 0;
        bool unanswered = false; ///< a call of the outage
        std::string reply;
        Ms replyAt = -1;
    };

    void acceptAll();
    bool readFrom(Connection &connection);
    void handle(Connection &connection, const std::string &target);
    bool answerWatch(Connection &connection, bool timedOut);
    void reply(Connection &connection, const std::string &body);
    void tick();

    World &m_world;
    int m_listener = -1;
    bool m_silent = false;
    std::uint64_t m_revision = 100;
    std::vector<Event> m_log;
    std::map<std::string, Event> m_items;
    std::vector<std::unique_ptr<Connection>> m_connections;
};

/// A host: answers each request on a flow with a number of packets that the request names.
class Host
{
public:
    Host(World &world, Machine &machine, std::string id);

    struct Flow
    {
        std::uint32_t initialSequence = 0;
        std::uint32_t receiveNext = 0;
        std::uint32_t sendNext = 0;
        bool open = false;
        std::deque<Packet> unacknowledged;
        std::deque<std::string> toSend;
        Ms retransmitAt = 0;
        Ms interval = 0;
        int retransmissions = 0;
    };
    struct Work
    {
        Ms due = 0;
        std::pair<Address, Address> flow;
        std::string request;
        int packets = 1;
    };

    /// Registers the host in the store, or changes its entry.
    void registerEntry();
    /// The process ends without a word: all flows are gone, packets are not answered.
    void crash();
    /// Starts again under the same id, without flows.
    void restart(Ms coldFor);
    [[nodiscard]] bool holdsOpen(const Address &client, const Address &service) const;
    [[nodiscard]] Address address() const;
    [[nodiscard]] bool isCold() const { return now() < coldUntil; }
    [[nodiscard]] Ms lastStart() const { return m_startedAt; }

    std::string id;
    Machine &machine;
    bool up = true;
    bool draining = false;
    Ms coldUntil = 0;
    Ms workMs = 5;
    /// The next opening packets that are lost on their way to the host.
    int openingsToLose = 0;
    int openingsLost = 0;
    std::vector<Ms> openingsTaken; ///< when opening packets of new flows arrived
    std::uint64_t foreignPackets = 0; ///< packets of flows that it does not hold
    std::uint64_t damagedPackets = 0;
    std::uint64_t runs = 0;

private:
    friend class World;
    using Key = std::pair<Address, Address>;
    void onPacket(const std::string &bytes);
    void send(Packet packet);
    void sendData(const Key &key, Flow &flow);
    void tick();

    World &m_world;
    int m_socket = -1;
    Ms m_startedAt = 0;
    std::uint64_t m_born = 0;
    std::map<Key, Flow> m_flows;
    std::deque<Work> m_work;
};

/// One flow of a client.
struct ClientFlow
{
    std::string name;
    Address client;
    Address service;
    enum class State { Opening, Open, Failed, Reset } state = State::Opening;
    std::uint32_t initialSequence = 0;
    std::uint32_t hostSequence = 0;
    std::uint32_t sendNext = 0;
    std::uint32_t receiveNext = 0;
    int copies = 0;
    Ms firstSynAt = 0;
    Ms openedAt = 0;
    Ms lastPacketAt = 0; ///< last packet of either end that the client sent or received
    Ms idleBeforeReset = 0; ///< time without packets before the request that was then reset
    int unacknowledgedPackets = 0;
    std::deque<std::string> queuedRequests;
    std::unique_ptr<Packet> request; ///< in flight
    bool isRequestAcknowledged = false; ///< the host has it, so that it is not sent again
    int packetsDue = 0;
    Ms requestAt = 0;
    Ms retransmitAt = 0;
    Ms interval = 0;
    int answers = 0;
    int requests = 0;
    bool resetInWindow = false;
    Ms resetAt = 0;
    std::string lastSentBy;
};

/// A client machine.
class Client
{
public:
    Client(World &world, std::uint32_t ip, std::string zone);
    ClientFlow &open(const std::string &name, const Address &service);
    /// Sends a request; the answer has as many packets as `packets` says.
    void request(ClientFlow &flow, int packets = 1);
    /// Called for each valid reset.
    std::function<void(ClientFlow &)> onReset;

    std::vector<std::unique_ptr<ClientFlow>> flows;
    std::uint64_t foreignPackets = 0;

private:
    friend class World;
    void onPacket(const std::string &bytes);
    void sendSyn(ClientFlow &flow);
    void sendRequest(ClientFlow &flow);
    void sendAck(ClientFlow &flow);
    void send(ClientFlow &flow, Packet packet);
    void startNext(ClientFlow &flow);
    void tick();

    World &m_world;
    int m_socket = -1;
    std::uint32_t m_ip = 0;
    std::string m_zone;
    std::uint16_t m_nextPort = 40001;
    std::map<std::uint16_t, ClientFlow *> m_byPort;
};

/// The whole deployment and the event loop.
class World
{
public:
    explicit World(std::string caseDirectory);
    ~World();
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    Machine &addBalancer(const std::string &name, const std::string &zone);
    Host &addHost(const std::string &name, const std::string &zone, const std::string &service);
    Client &addClient(const std::string &zone);
    /// An address of the platform for a route.
    Address routeAddress(int number) const;
    /// A loopback address at which nobody listens.
    Address unusedAddress(int number) const;
    /// SIGKILL for all daemons at once.
    void killAll();
    /// Starts the daemons of all machines for the first time, and waits for the balancers.
    bool startAll();
    void startDaemon(Machine &machine, bool firstStart);
    /// SIGTERM, SIGKILL after the grace period, and a new start after a short delay.
    void restartDaemon(Machine &machine);
    /// The same for one machine after the other, `gap` apart.
    void rollDaemons(const std::vector<Machine *> &machines, Ms gap);
    [[nodiscard]] bool areDaemonsAlive();

    void pump(Ms duration);
    bool pumpUntil(const std::function<bool()> &done, Ms limit);
    void record(const std::string &line);
    /// Called in each turn of the event loop.
    std::function<void()> onTurn;

    Store &store() { return *m_store; }
    std::vector<std::unique_ptr<Machine>> machines;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::unique_ptr<Client>> clients;
    /// The host that holds the flow and has the end of its handshake; null if there is none.
    Host *holderOf(const ClientFlow &flow);

    static constexpr Ms GraceMs = 6000;
    static constexpr Ms RestartDelayMs = 300;

private:
    friend class Store;
    friend class Host;
    friend class Client;
    struct Probe
    {
        Machine *machine = nullptr;
        int fd = -1;
        bool sent = false;
        std::string input;
        Ms deadline = 0;
    };

    [[nodiscard]] std::uint32_t nextIp();
    [[nodiscard]] int bindUdp(std::uint32_t ip, std::uint16_t port) const;
    Machine *route(const std::string &zone, const Address &client, const Address &service);
    void sendUdp(int socket, const Address &to, const std::string &bytes) const;
    void tickProbes();
    void turn(Ms wait);
    void stopDaemon(Machine &machine, int signal);

    std::string m_directory;
    std::string m_temporary;
    int m_record = -1;
    std::uint32_t m_base = 0;
    std::uint32_t m_lastIp = 0;
    std::uint16_t m_listenPort = 0;
    std::uint16_t m_packetsPort = 0;
    std::uint16_t m_readyPort = 0;
    std::uint16_t m_outboundPort = 0;
    std::uint16_t m_appPort = 0;
    std::uint16_t m_controlPort = 0;
    Address m_storeAddress;
    std::unique_ptr<Store> m_store;
    std::vector<Probe> m_probes;
    Ms m_nextProbes = 0;
};

/// Result of a script, as its exit code.
enum Outcome { Held = 0, Broken = 1, CouldNotRun = 2 };

} // namespace review
