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

constexpr Millis BurnShort {std::chrono::minutes(5)};
constexpr Millis BurnLong {std::chrono::hours(1)};

class Agent
{
public:
    Agent(AgentDaemonSettings settings, std::string path)
        : m_settings(std::move(settings))
        , m_path(std::move(path))
        , m_process(m_settings.common.stopTimeout)
        , m_upstream(m_process.io())
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
            countBurn(now);
        };
        hooks.onStop = [this](Instant now) {
            m_node->stop(now);
        };
        hooks.isDone = [this] {
            return m_node->isDrained(Clock::now());
        };
        hooks.onReload = [this] {
            m_process.reload(loadAgentSettings(m_path));
        };
        m_process.setHooks(std::move(hooks));
        const ExitCode code = m_process.run();
        if (code == ExitCode::Unfinished) {
            logError(m_left);
        }
        return code;
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
        // A restart keeps the address that the document names.
        m_settings.common.listen = m_plane->local();
        m_node.emplace(m_settings.agent, m_plane->dissemination(), nodeHooks(), systemRandom());
        addMetrics();
        m_plane->start(Clock::now());
        logState("agent of " + m_settings.agent.upstream.str() + " listens on "
                 + m_plane->local().str());
        std::cout << "ready " << m_plane->local().str() << std::endl;
        return boost::outcome_v2::success();
    }

    void stop()
    {
        if (m_node) {
            m_left = std::to_string(m_node->runningCount()) + " requests running, "
                + std::to_string(m_node->ownedCount()) + " flows not handed over";
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
            const auto found = m_runs.find(run);
            if (found != m_runs.end()) {
                found->second();
                m_runs.erase(found);
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
        m_runs[run] = m_upstream.call(
            m_settings.upstreamAddress, call, remaining,
            [this, run](Result<HttpReply, HttpFailure> reply) { onReply(run, std::move(reply)); });
    }

    void onReply(RunId run, Result<HttpReply, HttpFailure> reply)
    {
        m_runs.erase(run);
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
            ++m_oversizedAnswers;
            m_node->onRunEnd(run, RunEnd::Broken, {}, now);
            return;
        }
        m_node->onRunEnd(run, RunEnd::Answered,
                         {answer.status, answer.contentType, std::move(answer.body)}, now);
    }

    void countBurn(Instant now)
    {
        // The node counts; the windows keep the differences.
        const AgentCounters &c = m_node->counters();
        const std::uint64_t all = c.answered + c.notRun + c.refused + c.unknown;
        m_window.add({c.inTime - m_counted.good, all - m_counted.all}, now);
        m_counted = {c.inTime, all};
    }

    void addStatus(nlohmann::json &status)
    {
        const Instant now = Clock::now();
        status["role"] = "agent";
        status["service"] = m_settings.agent.service.str();
        status["upstream"] = m_settings.agent.upstream.str();
        status["draining"] = m_node->isDraining();
        const auto count = [](const ServiceCount &c) {
            return nlohmann::json {{"good", c.good}, {"all", c.all}};
        };
        status["burn"] = {{"short", count(m_window.sum(BurnShort, now))},
                          {"long", count(m_window.sum(BurnLong, now))},
                          {"since_start", count(m_counted)}};
    }

    void addMetrics()
    {
        Metrics &metrics = m_plane->metrics();
        const AgentCounters &c = m_node->counters();
        metrics.count("packets", "Packets received", c.packets);
        metrics.count("flows_opened", "Flows admitted", c.flowsOpened);
        metrics.count("flows_placed", "New flows given to a less loaded peer", c.flowsPlaced);
        metrics.count("requests_lent", "Idempotent requests given to a less loaded peer",
                      c.requestsLent);
        metrics.count("forwarded_to_owner", "Packets passed to their flow's owner",
                      c.forwardedToOwner);
        metrics.count("walked", "Packets passed along the candidates", c.walked);
        metrics.count("unclaimed", "Packets of flows that no agent owns", c.unclaimed);
        metrics.count("wrong_service", "Packets of another service, dropped", c.wrongService);
        metrics.count("domain_out", "Packets refused because the failure domain is out",
                      c.domainOut);
        metrics.count("not_ready", "Packets dropped without a confirmed view", c.notReady);
        metrics.count("hop_limit", "Packets dropped after too many hops", c.hopLimit);
        metrics.count("runs", "Requests started at the upstream", c.runs);
        metrics.count("answered", "Requests answered by the upstream", c.answered);
        metrics.count("in_time", "Requests answered within the objective's latency", c.inTime);
        metrics.count("not_run", "Non-idempotent requests refused before they ran", c.notRun);
        metrics.count("refused", "Attempts refused", c.refused);
        metrics.count("unknown", "Requests whose outcome is unknown", c.unknown);
        metrics.count("repeats", "Attempts served from the ledger", c.repeats);
        metrics.count("handed_over", "Flows handed over to a successor", c.handedOver);
        metrics.count("adopted", "Flows taken over from an agent that stopped", c.adopted);
        metrics.count("expired_in_queue", "Requests whose deadline passed while they waited",
                      c.expiredInQueue);
        metrics.count("busy_ms", "Time that the upstream spent on requests", c.busyMs);
        metrics.count("bad_requests", "Caller messages that could not be read", m_badRequests);
        metrics.count("oversized_answers", "Answers of the upstream too large to pass on",
                      m_oversizedAnswers);
        metrics.counter("upstream_cold", "Times the upstream was found cold",
                        [this] { return static_cast<double>(m_node->limit().coldCount()); });
        metrics.gauge("flows", "Flows held",
                      [this] { return static_cast<double>(m_node->flowCount()); });
        metrics.gauge("running", "Requests running at the upstream",
                      [this] { return static_cast<double>(m_node->runningCount()); });
        metrics.gauge("queued", "Requests waiting for the upstream",
                      [this] { return static_cast<double>(m_node->queuedCount()); });
        metrics.gauge("limit", "Requests that the upstream bears at once",
                      [this] { return m_node->limit().value(Clock::now()); });
    }

    AgentDaemonSettings m_settings;
    std::string m_path;
    Process m_process;
    HttpClient m_upstream;
    std::unique_ptr<ControlPlane> m_plane;
    std::optional<AgentNode> m_node;
    std::unordered_map<RunId, HttpClient::Cancel> m_runs;
    WindowCounter m_window;
    ServiceCount m_counted;
    std::uint64_t m_badRequests = 0;
    std::uint64_t m_oversizedAnswers = 0;
    std::string m_left;
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
    Agent agent(std::move(*checked.value), settingsPath);
    return agent.run();
}

} // namespace bergamotglade
