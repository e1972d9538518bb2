// A small deployment on loopback addresses: the project's daemons as processes, with stand-ins for
// the store, the hosts, the clients and the platform's routers in this one.
#pragma once

#include "store.hpp"

#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>
#include <set>

namespace rig {

/// Ports are the same on all machines.
struct Ports
{
    std::uint16_t base = 0;
    std::uint16_t datagram() const { return base; }
    std::uint16_t ready() const { return base + 1; }
    std::uint16_t outbound() const { return base + 2; }
    std::uint16_t control() const { return base + 3; }
    std::uint16_t app() const { return base + 4; }
    std::uint16_t inner() const { return base + 5; }
    std::uint16_t store() const { return base + 6; }
};

class Rig;

/// A server behind an agent, as the section Hosts of the page PROTOCOL describes it.
class Host
{
public:
    Host(Rig &rig, std::string name, std::string service, std::string zone, std::uint32_t ip);

    /// Starts a new incarnation, which registers with its next accepted write.
    void start(bool isCold);
    /// Crashes: nothing is answered, connections are refused, flows are forgotten.
    void crash();
    /// Becomes cold without a restart, as a host of an emptied zone does, and registers that.
    void becomeCold();
    /// Registers as draining; `onAccepted` is called once the store has accepted it.
    void drain(std::function<void()> onAccepted);
    Address app() const;
    const std::string &service() const { return m_service; }
    const std::string &zone() const { return m_zone; }
    const std::string &name() const { return m_name; }
    bool holds(const Address &caller, const Address &route) const
    {
        const auto found = m_flows.find({caller, route});
        return found != m_flows.end() && found->second.isOpen;
    }
    std::uint32_t ip() const { return m_ip; }
    bool isRunning() const { return m_isRunning; }
    bool isCold() const;
    bool isRegistered() const;
    /// Called for each opening packet that the host takes, not for its copies.
    std::function<void(const Packet &)> onTaken;

private:
    struct Flow
    {
        std::uint32_t clientNext = 0;
        std::uint32_t own = 0; ///< initial sequence number
        std::uint32_t next = 0; ///< next sequence number to send
        bool isOpen = false;
        std::string answer;
        std::string requestId;
        int resends = 0;
    };
    using Key = std::pair<Address, Address>;

    void onPacket(const std::string &bytes);
    void respond(const Key &key, Flow &flow);
    void sendPacket(const Key &key, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack,
                    const std::string &data);
    void heartbeat(int incarnation);
    bool writeEntry();
    std::string entry() const;
    void work(const Key &key, int incarnation);

    Rig &m_rig;
    std::string m_name;
    std::string m_service;
    std::string m_zone;
    std::uint32_t m_ip;
    std::string m_id;
    int m_incarnation = 0;
    int m_udp = -1;
    int m_tcp = -1;
    bool m_isRunning = false;
    bool m_isDraining = false;
    bool m_isWritten = false; ///< the store holds what the host last wanted to say
    std::function<void()> m_onDrainAccepted;
    Ms m_startedAt = 0;
    Ms m_coldUntil = 0;
    std::uint64_t m_bornMs = 0;
    std::uint64_t m_sequence = 0;
    int m_running = 0;
    std::vector<Key> m_waiting;
    std::map<Key, Flow> m_flows;
};

struct Attempt
{
    std::string id;
    Ms sentAt = 0;
    Ms openedAt = 0;
    std::string outcome; ///< empty while open
};

/// One attempt on one flow.
struct ClientFlow
{
    std::shared_ptr<Attempt> attempt; ///< the request in progress or the last one
    Address caller;
    Address route;
    std::uint32_t seq = 0; ///< of the opening packet
    std::uint32_t next = 0; ///< next sequence number to send
    std::uint32_t ack = 0;
    bool isOpen = false;
    bool isEnded = false;
    int resends = 0;
    Ms openedAt = 0;
};

struct Daemon
{
    std::string name;
    std::string zone;
    std::uint32_t ip = 0;
    bool isAgent = false;
    std::string service;
    pid_t pid = -1;
    bool isReady = false;
    int misses = 0;
    int starts = 0;
    Ms startedAt = 0;
};

struct RigSettings
{
    std::vector<std::string> zones {"east", "north", "south"};
    unsigned balancersPerZone = 1;
    unsigned hostsPerZone = 2;
    unsigned otherHostsPerZone = 0; ///< hosts of the other service
    /// Weight of the other service in the route, of 100; without it the route names one service.
    std::optional<unsigned> otherWeight;
    unsigned slots = 9;
    Ms workMs = 30;
    double perSecond = 120;
    /// Clients keep a flow for several requests, with pauses of up to this between them.
    Ms pauseMax = 0;
    Ms flowMaxMs = 50000;
    unsigned flowsMax = 0; ///< of long flows; no new one is opened while there are as many
    double coldPerSecond = 0;
    double coldStartSeconds = 2;
    Ms heartbeatMs = 1200;
    Ms drainMs = 3000;
    Ms deadlineMs = 2000;
    bool hasStaleSeeds = false; ///< `seeds` names machines that are gone
    std::string maxFlowSeconds = "60"; ///< `bounds.max_flow_s`, as the platform writes it
};

class Rig
{
public:
    Rig(std::string scratch, std::string recordPath, RigSettings settings);
    ~Rig();

    /// Starts the store, the hosts and the daemons. @return false if the case can't run
    bool start();
    /// Waits until all balancers are ready, at most for 15 s.
    bool waitReady();
    void startTraffic();
    void stopTraffic() { m_isTraffic = false; }
    void run(Ms duration);
    void record(const std::string &line);

    void startDaemon(Daemon &daemon);
    void signalDaemon(Daemon &daemon, int signal) const;

    Loop loop;
    RigSettings settings;
    Ports ports;
    std::unique_ptr<Store> store;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<Daemon> daemons;
    std::map<Address, std::shared_ptr<Attempt>> attempts; ///< by the client's address and port
    /// When each entry was last written by its host.
    std::map<std::string, Ms> lastWritten;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    /// Whether the platform starts a process again that has ended.
    bool restartsProcesses = false;
    Ms restartDelay = 500;
    std::uint64_t failedStarts = 0; ///< processes that ended by themselves within a second
    const std::string service = "catalogue";
    const std::string otherService = "documents";

    std::mt19937_64 random {7};
    std::uint32_t randomNumber() { return static_cast<std::uint32_t>(random()); }
    Address routeAddress() const { return {ipOf(100, 0, 1), 443}; }
    /// Called when a client gets a reset of an open flow that is valid.
    std::function<void(const ClientFlow &)> onReset;
    /// Called for each packet with data that a host gets; whether it holds the flow.
    std::function<void(const Host &, const Packet &, bool isOwn)> onData;
    void writeConfig(unsigned version, const std::string &target);
    std::string serviceTarget(const std::string &name) const
    {
        return "\"service\":\"" + name + "\"";
    }
    std::string splitTarget(unsigned weight, unsigned otherWeight) const
    {
        return "\"traffic_split\":[{\"service\":\"" + service
            + "\",\"weight\":" + std::to_string(weight) + "},{\"service\":\"" + otherService
            + "\",\"weight\":" + std::to_string(otherWeight) + "}]";
    }
    Ms startTime() const { return m_startTime; }

private:
    bool choosePorts();
    void writeSettings(const Daemon &daemon);
    void probeReadiness();
    void sendRequest();
    void sendSyn(const std::shared_ptr<ClientFlow> &flow, unsigned copy);
    void onClientPacket(int client, const std::string &bytes);
    void sendClient(const ClientFlow &flow, std::uint8_t flags, std::uint32_t seq,
                    std::uint32_t ack, const std::string &data);
    void sendData(const std::shared_ptr<ClientFlow> &flow);
    void nextRequest(const std::shared_ptr<ClientFlow> &flow);
    std::shared_ptr<Attempt> newAttempt(const Address &caller);
    void finish(const std::shared_ptr<ClientFlow> &flow, const std::string &outcome);
    void reap();

    std::string m_scratch;
    std::ofstream m_record;
    Ms m_startTime = nowMs();
    bool m_isTraffic = false;
    std::vector<int> m_clients;
    std::map<Address, std::shared_ptr<ClientFlow>> m_flows;
    std::uint16_t m_nextPort = 20000;
    std::uint64_t m_nextAttempt = 1;
    bool m_isFirstStart = true;
    std::size_t m_openFlows = 0;
};

} // namespace rig
