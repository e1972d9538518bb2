#include "steering_runtime.hpp"

#include <bergamotglade/detail/daemon/log.hpp>
#include <bergamotglade/detail/net/connection_check.hpp>
#include <bergamotglade/detail/net/datagram_codec.hpp>
#include <bergamotglade/detail/steering/agent_steering.hpp>

#include <nlohmann/json.hpp>

#include <optional>

namespace bergamotglade {

namespace {

/// The upstream runs on the same VM, whose system refuses a connection within a millisecond.
constexpr Millis UpstreamConnectTimeout {200};

class SteeringAgentDaemon
{
public:
    SteeringAgentDaemon(AgentDaemonSettings settings, std::string settingsPath,
                        const PlatformAdapter &adapter)
        : m_settings(std::move(settings))
        , m_settingsPath(std::move(settingsPath))
        , m_adapter(adapter)
        , m_process(m_settingsPath, m_settings.common.stopTimeout, SteeringTickInterval)
    { }

    ExitCode run()
    {
        ProcessHooks hooks;
        hooks.start = [this] {
            return start();
        };
        hooks.stop = [this] {
            stop();
        };
        hooks.onTick = [this](Instant now) {
            m_runtime->onTick(now);
            m_steering->onTick(now);
        };
        hooks.onStop = [this](Instant now) {
            m_stopping = true;
            m_steering->startDraining(now);
        };
        hooks.isStopComplete = [this] {
            return m_steering->activeFlowCount(Clock::now()) == 0;
        };
        hooks.onReload = [this] {
            reload();
        };
        m_process.setHooks(std::move(hooks));
        return m_process.run();
    }

private:
    void reload()
    {
        const auto checked = loadAgentSettings(m_settingsPath, *m_settings.steering);
        m_process.reload(checked);
        if (!checked.value || !checked.value->steering) {
            return;
        }
        // A restart of the role uses it as well.
        m_settings.steering->flowMax = checked.value->steering->flowMax;
        if (m_steering) {
            m_runtime->setFlowLifetimeMax(m_settings.steering->flowMax, Clock::now());
            m_steering->setFlowLifetimeMax(m_settings.steering->flowMax);
        }
    }

    Result<void> start()
    {
        SteeringRuntimeHooks hooks;
        hooks.onPacket = [this](const Endpoint &from, std::string_view bytes) {
            if (const auto segment = m_runtime->decodePacket(m_adapter.codec.fromCaller, bytes)) {
                m_steering->onCallerPacket(*segment, PacketBytes(bytes), from, Clock::now());
            }
        };
        hooks.onLoadReport = [this](const LoadReport &report) {
            m_steering->onLoadReport(report, Clock::now());
        };
        hooks.onFlowLocated = [this](const FlowLocated &located) {
            m_steering->onFlowLocations({located.agent, {located.flow}}, Clock::now());
        };
        hooks.onFlowQuery = [this](const FlowQuery &query) {
            const auto segment = m_runtime->decodePacket(m_adapter.codec.fromCaller, query.packet);
            if (segment) {
                m_steering->onFlowQuery(query, *segment, Clock::now());
            }
        };
        hooks.onFlowAnswer = [this](const FlowAnswer &answer) {
            m_steering->onFlowAnswer(answer, Clock::now());
        };
        hooks.onOwnersQuery = [this](const OwnersQuery &query) {
            m_steering->onOwnersQuery(query);
        };
        hooks.onOwnersList = [this](const OwnersList &list) {
            m_steering->onOwnersList(list, Clock::now());
        };
        hooks.onFlowLocations = [this](const FlowLocations &locations) {
            m_steering->onFlowLocations(locations, Clock::now());
        };
        hooks.isReady = [this] {
            return !m_stopping && m_runtime->isConfirmed(Clock::now());
        };
        hooks.addStatus = [this](nlohmann::json &status) {
            status["role"] = "agent";
            status["service"] = m_settings.agent.service.str();
            status["draining"] = m_stopping;
        };
        hooks.explain = [this](const FlowKey &flow) {
            return m_steering->explain(flow, Clock::now());
        };
        hooks.onViewChange = [this](Instant now) {
            m_steering->onViewChange(now);
        };
        auto runtime = SteeringRuntime::open(m_process.io(), m_settings.common,
                                             *m_settings.steering, m_adapter, std::move(hooks));
        if (!runtime) {
            return runtime.error();
        }
        m_runtime = std::move(runtime.value());
        auto fromUpstream =
            UdpSocket::open(m_process.io(), m_settings.steering->fromUpstream,
                            [this](const Endpoint & /*from*/, std::string_view bytes) {
                                onUpstreamDatagram(bytes);
                            });
        if (!fromUpstream) {
            return fromUpstream.error();
        }
        m_fromUpstream = std::move(fromUpstream.value());
        m_upstreamCheck.emplace(m_process.io());
        AgentSteeringSettings steering;
        steering.self = m_settings.steering->packets;
        steering.upstream = m_settings.upstreamAddress;
        steering.service = m_settings.agent.service;
        steering.domain = m_settings.common.domain;
        steering.incarnation = m_runtime->plane().dissemination().settings().incarnation;
        steering.flowLifetimeMax = m_settings.steering->flowMax;
        steering.isFirstStart = m_settings.steering->isFirstStart;
        m_steering.emplace(std::move(steering), m_runtime->directory(), m_adapter.codec,
                           steeringHooks(), systemRandom(), Clock::now());
        addMetrics();
        logEvent("started",
                 {{"packets", m_settings.steering->packets.str()},
                  {"upstream", m_settings.upstreamAddress.str()},
                  {"service", m_settings.agent.service.str()},
                  {"first_start", m_settings.steering->isFirstStart},
                  {"control", m_runtime->plane().local().str()}});
        return boost::outcome_v2::success();
    }

    AgentSteeringHooks steeringHooks()
    {
        AgentSteeringHooks hooks;
        hooks.sendToUpstream = [this](const PacketBytes &bytes) {
            // Upstreams expect packets from the address to which they send their own.
            m_fromUpstream->send(m_settings.upstreamAddress, bytes);
        };
        hooks.connectToUpstream = [this](const std::function<void(bool, Instant)> &done) {
            m_upstreamCheck->start(m_settings.upstreamAddress, UpstreamConnectTimeout,
                                   [done](ConnectionOutcome outcome) {
                                       done(outcome == ConnectionOutcome::Refused, Clock::now());
                                   });
        };
        hooks.sendToAgent = [this](const Endpoint &agent, const PacketBytes &bytes) {
            m_runtime->sendPacket(agent, bytes);
        };
        hooks.sendToCaller = [this](const Endpoint &caller, const PacketBytes &bytes) {
            m_runtime->sendToCaller(caller, bytes);
        };
        hooks.sendLoadReport = [this](const Endpoint &process, const LoadReport &report) {
            m_runtime->sendControl(process, encode(report));
        };
        hooks.sendFlowLocation = [this](const Endpoint &process, const FlowLocated &located) {
            m_runtime->sendControl(process, encode(located));
        };
        hooks.sendFlowQuery = [this](const Endpoint &agent, const FlowQuery &query) {
            m_runtime->sendControl(agent, encode(query));
        };
        hooks.sendFlowAnswer = [this](const Endpoint &agent, const FlowAnswer &answer) {
            m_runtime->sendControl(agent, encode(answer));
        };
        hooks.sendOwnersQuery = [this](const Endpoint &agent, const OwnersQuery &query) {
            m_runtime->sendControl(agent, encode(query));
        };
        hooks.sendOwnersList = [this](const Endpoint &agent, const OwnersList &list) {
            m_runtime->sendControl(agent, encode(list));
        };
        hooks.sendFlowLocations = [this](const Endpoint &agent, const FlowLocations &locations) {
            m_runtime->sendControl(agent, encode(locations));
        };
        hooks.knownProcesses = [this] {
            return m_runtime->plane().dissemination().peers();
        };
        hooks.mayAct = [this](Instant now) {
            return m_runtime->mayAct(now);
        };
        hooks.requestConfirmation = [this](Instant now) {
            m_runtime->requestConfirmation(now);
        };
        hooks.isConfirmedSince = [this](Instant since, Instant now) {
            return m_runtime->isConfirmedSince(since, now);
        };
        hooks.log = m_runtime->log();
        return hooks;
    }

    void onUpstreamDatagram(std::string_view bytes)
    {
        if (const auto segment = m_runtime->decodePacket(m_adapter.codec.fromUpstream, bytes)) {
            m_steering->onUpstreamPacket(*segment, PacketBytes(bytes), Clock::now());
        }
    }

    void stop()
    {
        logEvent("stopped",
                 {{"flows_open",
                   static_cast<std::uint64_t>(m_steering ? m_steering->activeFlowCount(Clock::now())
                                                         : 0)}});
        m_upstreamCheck.reset();
        m_steering.reset();
        m_fromUpstream.reset();
        m_runtime.reset();
    }

    void addMetrics()
    {
        Metrics &metrics = m_runtime->plane().metrics();
        const AgentSteeringCounters &counters = m_steering->counters();
        metrics.addCounterRef("delivered", "Packets given to the upstream",
                              counters.packetsDelivered);
        metrics.addCounterRef("to_callers", "Packets of the upstream sent to callers",
                              counters.packetsToCallers);
        metrics.addCounterRef("returned", "Packets that the upstream would not take",
                              counters.packetsReturned);
        metrics.addCounterRef("opened", "New flows offered to the upstream", counters.flowsOffered);
        metrics.addCounterRef("queued", "New flows that waited for a slot", counters.flowsQueued);
        metrics.addCounterRef("queue_refused", "New flows reset after waiting",
                              counters.queuedFlowsReset);
        metrics.addCounterRef("flows_refused_on_arrival",
                              "New flows reset on arrival: their turn would come too late",
                              counters.flowsRefusedOnArrival);
        metrics.addCounterRef("flows_refused_waiting",
                              "Waiting flows reset: their turn would come too late",
                              counters.flowsRefusedWaiting);
        metrics.addCounterRef("handed_on", "New flows handed on to another agent",
                              counters.flowsHandedOff);
        metrics.addCounterRef("passed_on", "Packets of flows owned elsewhere",
                              counters.packetsPassedOn);
        metrics.addCounterRef("reset_unclaimed", "Flows reset: no upstream holds them",
                              counters.resetsWithoutOwner);
        metrics.addCounterRef("reset_refused", "New flows reset: nobody takes them",
                              counters.resetsNotAccepted);
        metrics.addCounterRef("reset_crashed", "Flows reset: their upstream has crashed",
                              counters.resetsAfterCrash);
        metrics.addCounterRef("resets_of_returned_flows",
                              "Open flows reset: the upstream returned a packet of them",
                              counters.resetsOfReturnedFlows);
        metrics.addCounterRef("resets_after_restart",
                              "Open flows reset: the restarted upstream does not hold them",
                              counters.resetsAfterRestart);
        metrics.addCounterRef("silent", "Packets dropped without an answer",
                              counters.packetsDropped);
        metrics.addCounterRef("upstream_silences", "Times that the upstream stopped answering",
                              counters.upstreamSilences);
        metrics.addCounterRef("upstream_connections", "Connections made to silent upstreams",
                              counters.upstreamConnections);
        metrics.addCounterRef("broken_off", "Requests that the upstream ended without an answer",
                              counters.requestsUnanswered);
        const OwnerSearchCounters &search = m_steering->ownerSearch().counters();
        metrics.addCounterRef("owner_searches", "Searches for the owner of a flow",
                              search.searches);
        metrics.addCounterRef("owner_queries", "Agents asked whether they own a flow",
                              search.queriesSent);
        metrics.addCounterRef("owners_found", "Searches that found the owner", search.ownersFound);
        metrics.addCounterRef("owners_absent", "Searches that proved that a flow has no owner",
                              search.ownersAbsent);
        metrics.addCounterRef("searches_without_wait",
                              "Searches that proved at once that a flow has no owner",
                              search.searchesWithoutWait);
        metrics.addCounterRef("search_drops", "Packets that found no room in a search",
                              search.packetsDropped);
        metrics.addGauge("locations", "Flows whose owner is known as one of their homes", [this] {
            return static_cast<double>(m_steering->ownerSearch().locationCount());
        });
        m_runtime->addUnroutedMetrics(m_steering->unroutedFlows().counters());
        metrics.addGauge("queue_expected_ms", "Longest expected wait of a waiting flow", [this] {
            return static_cast<double>(m_steering->queueExpected().count());
        });
        metrics.addGauge("flows", "Flows held",
                         [this] { return static_cast<double>(m_steering->flowCount()); });
        metrics.addGauge("running", "Requests that wait for the upstream",
                         [this] { return m_steering->load(Clock::now()).running; });
        metrics.addGauge("requests_running", "Requests that have arrived and are not answered",
                         [this] { return static_cast<double>(m_steering->runningRequests()); });
        metrics.addGauge("requests_arriving", "Requests of which a part has not arrived",
                         [this] { return static_cast<double>(m_steering->arrivingRequests()); });
    }

    AgentDaemonSettings m_settings;
    std::string m_settingsPath;
    PlatformAdapter m_adapter;
    Process m_process;
    std::unique_ptr<SteeringRuntime> m_runtime;
    std::unique_ptr<UdpSocket> m_fromUpstream;
    std::optional<ConnectionCheck> m_upstreamCheck;
    std::optional<AgentSteering> m_steering;
    bool m_stopping = false;
};

} // namespace

ExitCode runSteeringAgent(AgentDaemonSettings settings, const std::string &settingsPath,
                          const PlatformAdapter &adapter)
{
    SteeringAgentDaemon daemon(std::move(settings), settingsPath, adapter);
    return daemon.run();
}

} // namespace bergamotglade
