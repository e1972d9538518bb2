#include "process.hpp"
#include "steering_runtime.hpp"

#include <bergamotglade/detail/burn/window_counter.hpp>
#include <bergamotglade/detail/daemon/control_plane.hpp>
#include <bergamotglade/detail/daemon/log.hpp>
#include <bergamotglade/detail/net/http_codec.hpp>

#include <nlohmann/json.hpp>

#include <iostream>
#include <optional>

namespace bergamotglade {

namespace {

constexpr Millis BurnWindowShort {std::chrono::minutes(5)};
constexpr Millis BurnWindowLong {std::chrono::hours(1)};

class AgentDaemon
{
public:
    AgentDaemon(AgentDaemonSettings settings, std::string settingsPath)
        : m_settings(std::move(settings))
        , m_settingsPath(std::move(settingsPath))
        , m_process(m_settingsPath, m_settings.common.stopTimeout)
        , m_upstreamClient(m_process.io())
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
            m_plane->onTick(now);
            m_node->onTick(now);
            updateBurnWindow(now);
        };
        hooks.onStop = [this](Instant now) {
            m_node->stop(now);
        };
        hooks.isStopComplete = [this] {
            return m_node->isDrained(Clock::now());
        };
        hooks.onReload = [this] {
            m_process.reload(loadAgentSettings(m_settingsPath));
        };
        m_process.setHooks(std::move(hooks));
        const ExitCode exitCode = m_process.run();
        if (exitCode == ExitCode::Unfinished) {
            logError(m_unfinishedWork);
        }
        return exitCode;
    }

private:
    Result<void> start()
    {
        ControlPlaneHooks hooks;
        hooks.onDatagram = [this](const Endpoint &from, Datagram &&datagram) {
            onDatagram(from, std::move(datagram));
        };
        hooks.onRequest = [this](const HttpRequest &request, const HttpResponder &respond) {
            return onRequest(request, respond);
        };
        hooks.addStatus = [this](nlohmann::json &status) {
            addStatus(status);
        };
        auto plane =
            ControlPlane::open(m_process.io(), m_settings.common, std::move(hooks), systemRandom());
        if (!plane) {
            return plane.error();
        }
        m_plane = std::move(plane.value());
        // With listen port 0 the kernel chooses the port. A restart within the process binds the
        // same port again, since the configuration document names this address.
        m_settings.common.listen = m_plane->local();
        m_node.emplace(m_settings.agent, m_plane->dissemination(), nodeHooks(), systemRandom());
        addMetrics();
        m_plane->start(Clock::now());
        logInfo("agent of upstream " + m_settings.agent.upstream.str() + " listens on "
                + m_plane->local().str());
        std::cout << "ready " << m_plane->local().str() << std::endl;
        return boost::outcome_v2::success();
    }

    void stop()
    {
        if (m_node) {
            m_unfinishedWork = std::to_string(m_node->runningCount()) + " requests still running, "
                + std::to_string(m_node->ownedCount()) + " flows not handed over at exit";
        }
        m_node.reset();
        m_plane.reset();
    }

    AgentHooks nodeHooks()
    {
        AgentHooks hooks;
        hooks.sendToAgent = [this](const Endpoint &agent, const DataPacket &packet) {
            m_plane->sendData(agent, encode(packet));
        };
        hooks.sendToCaller = [this](const Endpoint &caller, const Response &response) {
            m_plane->sendData(caller, encode(response));
        };
        hooks.run = [this](RunId run, const Request &request, Millis remaining) {
            runAtUpstream(run, request, remaining);
        };
        hooks.cancel = [this](RunId run) {
            const auto found = m_cancelByRun.find(run);
            if (found != m_cancelByRun.end()) {
                found->second();
                m_cancelByRun.erase(found);
            }
        };
        hooks.sendLoad = [this](const Endpoint &agent, const LoadReport &report) {
            m_plane->sendControl(agent, encode(report));
        };
        hooks.sendHandover = [this](const Endpoint &agent, const HandoverMessage &message) {
            m_plane->post(agent, "/v1/handover", encode(message),
                          [this, agent, id = message.id](bool ok) {
                              if (ok && m_node) {
                                  m_node->onHandoverAck(agent, id, Clock::now());
                              }
                          });
        };
        return hooks;
    }

    void onDatagram(const Endpoint &from, Datagram &&datagram)
    {
        const Instant now = Clock::now();
        if (const auto *report = std::get_if<LoadReport>(&datagram)) {
            m_node->onLoadReport(*report, now);
            return;
        }
        auto *packet = std::get_if<DataPacket>(&datagram);
        if (packet == nullptr) {
            return;
        }
        const auto request = decodeRequest(packet->payload);
        if (!request) {
            ++m_badRequests;
            return;
        }
        m_node->onPacket(from, std::move(*packet), request.value(), now);
    }

    bool onRequest(const HttpRequest &request, const HttpResponder &respond)
    {
        if (request.target != "/v1/handover" || request.method != "POST") {
            return false;
        }
        const auto message = decodeHandover(request.body);
        if (!message) {
            respond({400, "text/plain", describe(message.error()) + '\n', {}});
            return true;
        }
        const bool stored = m_node->onHandover(message.value(), Clock::now());
        respond({static_cast<std::uint16_t>(stored ? 200 : 503), "text/plain", "", {}});
        return true;
    }

    void runAtUpstream(RunId run, const Request &request, Millis remaining)
    {
        HttpRequest call;
        call.method = request.method;
        call.target = request.target;
        call.host = request.service.str();
        call.contentType = request.contentType;
        call.body = request.body;
        call.headers.push_back(
            {"Glade-Request",
             request.caller.str() + '-' + std::to_string(request.sequence.value())});
        call.headers.push_back({"Glade-Deadline", std::to_string(remaining.count())});
        m_cancelByRun[run] = m_upstreamClient.call(
            m_settings.upstreamAddress, call, remaining,
            [this, run](Result<HttpReply, HttpFailure> reply) { onReply(run, std::move(reply)); });
    }

    void onReply(RunId run, Result<HttpReply, HttpFailure> reply)
    {
        m_cancelByRun.erase(run);
        if (!m_node) {
            return;
        }
        const Instant now = Clock::now();
        if (!reply) {
            const RunEnd end = reply.error().notSent ? RunEnd::NotSent : RunEnd::Broken;
            m_node->onRunEnd(run, end, {}, now);
            return;
        }
        HttpReply &answer = reply.value();
        if (answer.body.size() > AnswerBytesMax) {
            // The upstream has answered, but the answer cannot be passed on: handled like a broken
            // connection.
            ++m_oversizedAnswers;
            m_node->onRunEnd(run, RunEnd::Broken, {}, now);
            return;
        }
        m_node->onRunEnd(run, RunEnd::Answered,
                         {answer.status, answer.contentType, std::move(answer.body)}, now);
    }

    void updateBurnWindow(Instant now)
    {
        // The counters of the node are cumulative; the window takes the increments.
        const AgentCounters &counters = m_node->counters();
        const std::uint64_t all =
            counters.answered + counters.notRun + counters.refused + counters.unknown;
        m_burnWindow.add({counters.inTime - m_burnTotal.good, all - m_burnTotal.all}, now);
        m_burnTotal = {counters.inTime, all};
    }

    void addStatus(nlohmann::json &status)
    {
        const Instant now = Clock::now();
        status["role"] = "agent";
        status["service"] = m_settings.agent.service.str();
        status["upstream"] = m_settings.agent.upstream.str();
        status["draining"] = m_node->isDraining();
        const auto toObject = [](const RequestCounts &count) {
            return nlohmann::json {{"good", count.good}, {"all", count.all}};
        };
        status["burn"] = {{"short", toObject(m_burnWindow.sum(BurnWindowShort, now))},
                          {"long", toObject(m_burnWindow.sum(BurnWindowLong, now))},
                          {"since_start", toObject(m_burnTotal)}};
    }

    void addMetrics()
    {
        Metrics &metrics = m_plane->metrics();
        const AgentCounters &counters = m_node->counters();
        metrics.addCounterRef("packets", "Packets received", counters.packets);
        metrics.addCounterRef("flows_opened", "Flows admitted", counters.flowsOpened);
        metrics.addCounterRef("flows_placed", "New flows given to a less loaded peer",
                              counters.flowsPlaced);
        metrics.addCounterRef("requests_lent", "Idempotent requests given to a less loaded peer",
                              counters.requestsLent);
        metrics.addCounterRef("forwarded_to_owner", "Packets passed to their flow's owner",
                              counters.forwardedToOwner);
        metrics.addCounterRef("walked", "Packets passed along the candidates", counters.walked);
        metrics.addCounterRef("unclaimed", "Packets of flows that no agent owns",
                              counters.unclaimed);
        metrics.addCounterRef("wrong_service", "Packets of another service, dropped",
                              counters.wrongService);
        metrics.addCounterRef("domain_out", "Packets refused because the failure domain is out",
                              counters.domainOut);
        metrics.addCounterRef("not_ready", "Packets dropped without a confirmed view",
                              counters.notReady);
        metrics.addCounterRef("hop_limit", "Packets dropped after too many hops",
                              counters.hopLimit);
        metrics.addCounterRef("runs", "Requests started at the upstream", counters.runs);
        metrics.addCounterRef("answered", "Requests answered by the upstream", counters.answered);
        metrics.addCounterRef("in_time", "Requests answered within the objective's latency",
                              counters.inTime);
        metrics.addCounterRef("not_run", "Non-idempotent requests refused before they ran",
                              counters.notRun);
        metrics.addCounterRef("refused", "Attempts refused", counters.refused);
        metrics.addCounterRef("unknown", "Requests whose outcome is unknown", counters.unknown);
        metrics.addCounterRef("repeats", "Attempts served from the ledger", counters.repeats);
        metrics.addCounterRef("handed_over", "Flows handed over to a successor",
                              counters.handedOver);
        metrics.addCounterRef("adopted", "Flows taken over from an agent that stopped",
                              counters.adopted);
        metrics.addCounterRef("expired_in_queue",
                              "Requests whose deadline passed while they waited",
                              counters.expiredInQueue);
        metrics.addCounterRef("busy_ms", "Time that the upstream spent on requests",
                              counters.busyMs);
        metrics.addCounterRef("bad_requests", "Caller messages that could not be read",
                              m_badRequests);
        metrics.addCounterRef("oversized_answers", "Answers of the upstream too large to pass on",
                              m_oversizedAnswers);
        metrics.addCounter("upstream_cold", "Times the upstream was found cold",
                           [this] { return static_cast<double>(m_node->limit().coldCount()); });
        metrics.addGauge("flows", "Flows held",
                         [this] { return static_cast<double>(m_node->flowCount()); });
        metrics.addGauge("running", "Requests running at the upstream",
                         [this] { return static_cast<double>(m_node->runningCount()); });
        metrics.addGauge("queued", "Requests waiting for the upstream",
                         [this] { return static_cast<double>(m_node->queuedCount()); });
        metrics.addGauge("limit", "Requests that the upstream bears at once",
                         [this] { return m_node->limit().value(Clock::now()); });
    }

    AgentDaemonSettings m_settings;
    std::string m_settingsPath;
    Process m_process;
    HttpClient m_upstreamClient;
    std::unique_ptr<ControlPlane> m_plane;
    std::optional<AgentNode> m_node;
    std::unordered_map<RunId, HttpClient::Cancel> m_cancelByRun;
    WindowCounter m_burnWindow;
    RequestCounts m_burnTotal;
    std::uint64_t m_badRequests = 0;
    std::uint64_t m_oversizedAnswers = 0;
    std::string m_unfinishedWork; ///< recorded at the stop, logged if the stop was not graceful
};

} // namespace

ExitCode runAgent(const std::string &settingsPath, const PlatformAdapter &adapter)
{
    auto checked = loadAgentSettings(settingsPath);
    if (!reportFindings(checked.findings)) {
        return ExitCode::BadSettings;
    }
    setUpLog("glade-agent/" + checked.value->agent.upstream.str(), checked.value->common.logLevel);
    if (checked.value->steering) {
        return runSteeringAgent(std::move(*checked.value), settingsPath, adapter);
    }
    AgentDaemon daemon(std::move(*checked.value), settingsPath);
    return daemon.run();
}

} // namespace bergamotglade
