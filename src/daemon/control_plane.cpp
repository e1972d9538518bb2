#include <bergamotglade/detail/daemon/control_plane.hpp>

#include <bergamotglade/detail/daemon/log.hpp>
#include <bergamotglade/detail/net/deflate.hpp>
#include <bergamotglade/detail/net/json_codec.hpp>

#include <nlohmann/json.hpp>

namespace bergamotglade {

namespace {

using nlohmann::json;

constexpr Millis PeerCallTimeout {2000};
constexpr Millis PlatformCallTimeout {3000};
/// Longest time that the platform may delay the reply to a watch.
constexpr Millis WatchWaitMax {30'000};
/// Bytes of IP and UDP headers per datagram. The counters of control traffic include them because
/// they count against its budget (`control_bytes_per_second_max` in the scenarios).
constexpr std::size_t UdpOverhead = 28;
/// Estimated bytes of TCP, IP and HTTP headers of one control call in both directions; counted like
/// UdpOverhead.
constexpr std::size_t HttpOverhead = 600;
constexpr int BindAttemptsMax = 16;
/// Shorter bodies are sent uncompressed: compression hardly reduces them.
constexpr std::size_t DeflateBytesMin = 256;

Result<ChangeBatch> decodeBatch(const HttpReply &reply)
{
    if (reply.header("Content-Encoding") != DeflateCoding) {
        return batchFromJson(reply.body);
    }
    BOOST_OUTCOME_TRY(body, inflated(reply.body, HttpBodyMax));
    return batchFromJson(body);
}

} // namespace

ControlPlane::ControlPlane(boost::asio::io_context &io, const CommonSettings &settings,
                           ControlPlaneHooks hooks)
    : m_io(io)
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_client(io)
{ }

Result<std::unique_ptr<ControlPlane>> ControlPlane::open(boost::asio::io_context &io,
                                                         const CommonSettings &settings,
                                                         ControlPlaneHooks hooks, Random random)
{
    std::unique_ptr<ControlPlane> plane(new ControlPlane(io, settings, std::move(hooks)));
    auto bound = plane->bind();
    if (!bound) {
        return bound.error();
    }
    plane->createDissemination(std::move(random));
    plane->addMetrics();
    return plane;
}

Result<void> ControlPlane::bind()
{
    Error lastError {ErrorCode::Io, "no port number is free for both TCP and UDP"};
    // With listen port 0 the kernel chooses the TCP port; the UDP port of the same number may be
    // in use, so another pair is tried.
    for (int i = 0; i < BindAttemptsMax; ++i) {
        auto server = HttpServer::listen(
            m_io, m_settings.listen,
            [this](const HttpRequest &request, const HttpResponder &respond,
                   const std::function<bool()> &) { onRequest(request, respond); });
        if (!server) {
            return server.error();
        }
        auto udp = UdpSocket::open(
            m_io, server.value()->local(),
            [this](const Endpoint &from, std::string_view bytes) { onReceived(from, bytes); });
        if (udp) {
            m_server = std::move(server.value());
            m_udp = std::move(udp.value());
            m_local = m_udp->local();
            m_udp->setDropFilter([this](const Endpoint &peer) { return isBlocked(peer); });
            return boost::outcome_v2::success();
        }
        lastError = udp.error();
    }
    return lastError;
}

void ControlPlane::createDissemination(Random random)
{
    DisseminationSettings settings;
    settings.self = m_local;
    settings.vm = m_settings.vm;
    settings.domain = m_settings.domain;
    settings.incarnation = Incarnation(random());
    settings.seeds = m_settings.peers;
    if (m_hooks.adjustSettings) {
        m_hooks.adjustSettings(settings);
    }
    DisseminationHooks hooks;
    hooks.applySection = m_hooks.applySection;
    hooks.agents = m_hooks.agents;
    hooks.contentOrder.isOlder = m_hooks.isOlderSection;
    hooks.contentOrder.onKept = [](const SectionChange &change) {
        logEvent("kept a newer section",
                 {{"section", change.name.str()},
                  {"era", change.revision.era()},
                  {"revision", change.revision.value()}});
    };
    hooks.onEraChange = [](Revision before, Revision after) {
        logEvent("store was restored from a copy",
                 {{"former_era", before.era()},
                  {"former_revision", before.value()},
                  {"era", after.era()},
                  {"revision", after.value()}});
    };
    hooks.sendNotice = [this](const Endpoint &peer, const Notice &notice) {
        sendControl(peer, encode(notice));
    };
    hooks.fetchFromPeer = [this](const Endpoint &peer, Revision since) {
        fetchFromPeer(peer, since);
    };
    hooks.readPlatform = [this](Revision since, bool watch) {
        readPlatform(since, watch);
    };
    hooks.readVmList = [this] {
        readVmList();
    };
    hooks.onChange = [this] {
        logEvent("configuration in force",
                 {{"revision", m_dissemination->revision().value()},
                  {"platform_age_ms", m_dissemination->platformAge(Clock::now()).count()}});
        logFindings();
        if (m_hooks.onChange) {
            m_hooks.onChange();
        }
    };
    hooks.onConfirmed = m_hooks.onConfirmed;
    hooks.sendConfirmationQuery = [this](const Endpoint &reader, const ConfirmationQuery &query) {
        sendControl(reader, encode(query));
    };
    hooks.sendConfirmationAnswer = [this](const Endpoint &process,
                                          const ConfirmationAnswer &answer) {
        sendControl(process, encode(answer));
    };
    hooks.confirmView = [this](Revision since) {
        confirmView(since);
    };
    m_dissemination =
        std::make_unique<Dissemination>(std::move(settings), std::move(hooks), std::move(random));
}

void ControlPlane::logFindings()
{
    // A finding is logged when it first appears, not again with every later change.
    std::set<std::string> currentFindings;
    for (const Finding &finding : m_dissemination->store().findings()) {
        const std::string text = describe(finding);
        if (!m_loggedFindings.contains(text)) {
            logError("configuration: " + text);
        }
        currentFindings.insert(text);
    }
    m_loggedFindings = std::move(currentFindings);
}

void ControlPlane::addMetrics()
{
    const auto &dissemination = *m_dissemination;
    m_metrics.addGauge("config_revision", "Newest revision of the document in force",
                       [&] { return static_cast<double>(dissemination.revision().value()); });
    m_metrics.addGauge("store_era", "Era of the document in force; 0 if the store reports none",
                       [&] { return static_cast<double>(dissemination.revision().era()); });
    m_metrics.addGauge("platform_age_ms", "Time since the platform confirmed the revision", [&] {
        return static_cast<double>(dissemination.platformAge(Clock::now()).count());
    });
    m_metrics.addGauge("reader", "Whether this process watches the platform",
                       [&] { return dissemination.isReader() ? 1.0 : 0.0; });
    m_metrics.addCounter("log_lines_dropped", "Log lines dropped: over the rate, or no reader",
                         [] { return static_cast<double>(droppedLogLines()); });
    m_metrics.addCounterRef("bad_datagrams", "Datagrams that could not be read",
                            m_counters.badDatagrams);
    m_metrics.addCounterRef("bad_control", "Control messages that could not be read",
                            m_counters.badControl);
    m_metrics.addCounterRef("control_bytes_sent", "Bytes sent for control",
                            m_counters.controlBytesSent);
    m_metrics.addCounterRef("control_bytes_received", "Bytes received for control",
                            m_counters.controlBytesReceived);
    m_metrics.addCounterRef("send_failures", "Datagrams that the kernel did not take",
                            m_counters.sendFailures);
    const DisseminationCounters &counters = dissemination.counters();
    m_metrics.addCounterRef("notices_sent", "Version notices sent", counters.noticesSent);
    m_metrics.addCounterRef("notices_received", "Version notices received",
                            counters.noticesReceived);
    m_metrics.addCounterRef("peer_fetches", "Changes fetched from peers", counters.peerFetches);
    m_metrics.addCounterRef("platform_reads", "Calls to the platform", counters.platformReads);
    const ViewConfirmationCounters &confirmations = dissemination.confirmationCounters();
    m_metrics.addCounterRef("confirmation_queries",
                            "Questions to readers whether the view is the newest one",
                            confirmations.queriesSent);
    m_metrics.addCounterRef("confirmation_queries_unanswered",
                            "Questions to readers that got no answer in time",
                            confirmations.queriesUnanswered);
    m_metrics.addCounterRef("confirmation_reads",
                            "Calls to the platform to find out whether a view is the newest one",
                            confirmations.reads);
    m_metrics.addCounterRef("platform_failures", "Calls to the platform that failed",
                            counters.platformFailures);
    m_metrics.addCounterRef("platform_stale", "Answers of the platform older than what is in force",
                            counters.platformStale);
    m_metrics.addCounterRef("pauses", "Times this process noticed that it had been paused",
                            counters.pauses);
    m_metrics.addCounterRef("store_era_changes", "Times the store was restored from a copy",
                            counters.eraChanges);
    const StoreCounters &store = dissemination.store().counters();
    m_metrics.addCounterRef("sections_taken", "Sections that came into force", store.applied);
    m_metrics.addCounterRef("sections_rejected", "Sections refused because of findings",
                            store.rejected);
    m_metrics.addCounterRef("sections_kept", "Older contents of a restored store, not taken",
                            store.kept);
}

void ControlPlane::start(Instant now)
{
    m_dissemination->start(now);
}

void ControlPlane::onTick(Instant now)
{
    m_dissemination->onTick(now);
}

void ControlPlane::sendData(const Endpoint &to, std::string_view bytes)
{
    m_counters.sendFailures += m_udp->send(to, bytes) ? 0 : 1;
}

void ControlPlane::sendControl(const Endpoint &to, std::string_view bytes)
{
    m_counters.controlBytesSent += bytes.size() + UdpOverhead;
    sendData(to, bytes);
}

void ControlPlane::post(const Endpoint &to, std::string target, std::string body,
                        std::function<void(bool ok)> done)
{
    if (isBlocked(to)) {
        done(false);
        return;
    }
    HttpRequest request;
    request.method = "POST";
    request.target = std::move(target);
    request.contentType = "application/msgpack";
    request.body = std::move(body);
    m_counters.controlBytesSent += request.body.size() + HttpOverhead;
    constexpr std::uint16_t Ok = 200;
    m_client.call(to, request, PeerCallTimeout,
                  [done = std::move(done)](Result<HttpReply, HttpFailure> reply) {
                      done(reply && reply.value().status == Ok);
                  });
}

void ControlPlane::onReceived(const Endpoint &from, std::string_view bytes)
{
    auto datagram = decodeDatagram(bytes);
    if (!datagram) {
        ++m_counters.badDatagrams;
        return;
    }
    const auto *notice = std::get_if<Notice>(&datagram.value());
    if (notice != nullptr || std::holds_alternative<LoadReport>(datagram.value())) {
        m_counters.controlBytesReceived += bytes.size() + UdpOverhead;
    }
    if (notice != nullptr) {
        m_dissemination->onNotice(*notice, Clock::now());
        return;
    }
    if (const auto *query = std::get_if<ConfirmationQuery>(&datagram.value())) {
        m_dissemination->onConfirmationQuery(*query, Clock::now());
        return;
    }
    if (const auto *answer = std::get_if<ConfirmationAnswer>(&datagram.value())) {
        m_dissemination->onConfirmationAnswer(*answer, Clock::now());
        return;
    }
    m_hooks.onDatagram(from, std::move(datagram.value()));
}

void ControlPlane::onRequest(const HttpRequest &request, const HttpResponder &respond)
{
    if (request.target.starts_with("/v1/changes")) {
        serveChanges(request, respond);
    } else if (request.target == "/v1/status") {
        respond({200, "application/json", status(), {}});
    } else if (request.target == "/metrics") {
        respond({200, "text/plain; version=0.0.4", m_metrics.serialize(), {}});
    } else if (request.target == "/v1/faults" && m_settings.faultInjection) {
        serveFaults(request, respond);
    } else if (!m_hooks.onRequest || !m_hooks.onRequest(request, respond)) {
        respond({404, "text/plain", "unknown: " + request.target + "\n", {}});
    }
}

void ControlPlane::serveChanges(const HttpRequest &request, const HttpResponder &respond)
{
    // Fault injection names peers by their listen address. The connection comes from another port,
    // so the request carries the listen address in a header.
    const auto from = request.header("Glade-Peer");
    const auto peer = Endpoint::parse(from);
    if (peer && isBlocked(peer.value())) {
        respond({503, "text/plain", "cut\n", {}});
        return;
    }
    const Revision since(queryNumber(request.target, "since"), queryNumber(request.target, "era"));
    HttpReply reply {
        200, "application/json", toJson(m_dissemination->store().changesSince(since)), {}};
    if (reply.body.size() >= DeflateBytesMin
        && request.header("Accept-Encoding") == DeflateCoding) {
        reply.body = deflated(reply.body);
        reply.headers.push_back({"Content-Encoding", std::string(DeflateCoding)});
    }
    m_counters.controlBytesSent += reply.body.size() + HttpOverhead;
    respond(std::move(reply));
}

void ControlPlane::serveFaults(const HttpRequest &request, const HttpResponder &respond)
{
    const json parsed = json::parse(request.body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("cut") || !parsed["cut"].is_array()) {
        ++m_counters.badControl;
        respond({400, "text/plain", "expected {\"cut\": [\"address:port\", ...]}\n", {}});
        return;
    }
    m_blockedPeers.clear();
    for (const json &text : parsed["cut"]) {
        const auto peer = Endpoint::parse(text.is_string() ? text.get<std::string>() : "");
        if (peer) {
            m_blockedPeers.insert(peer.value());
        }
    }
    respond({200, "text/plain", "ok\n", {}});
}

std::string ControlPlane::status()
{
    const Instant now = Clock::now();
    json result;
    result["vm"] = m_settings.vm.str();
    result["failure_domain"] = m_settings.domain.str();
    result["endpoint"] = m_local.str();
    result["revision"] = m_dissemination->revision().value();
    if (m_dissemination->revision().era() != 0) {
        result["era"] = m_dissemination->revision().era();
    }
    result["ready"] = m_dissemination->isReady(now);
    result["reader"] = m_dissemination->isReader();
    result["platform_age_ms"] = m_dissemination->platformAge(now).count();
    result["findings"] = json::parse(toJson(m_dissemination->store().findings()));
    for (const Metrics::Sample &sample : m_metrics.samples()) {
        result["counters"][sample.name] = sample.value;
    }
    if (m_hooks.addStatus) {
        m_hooks.addStatus(result);
    }
    return result.dump(2, ' ', false, json::error_handler_t::replace) + '\n';
}

void ControlPlane::fetchFromPeer(const Endpoint &peer, Revision since)
{
    if (isBlocked(peer)) {
        m_dissemination->onPeerFailed(Clock::now());
        return;
    }
    HttpRequest request;
    request.target = "/v1/changes?since=" + std::to_string(since.value());
    if (since.era() != 0) {
        request.target += "&era=" + std::to_string(since.era());
    }
    request.headers.push_back({"Glade-Peer", m_local.str()});
    request.headers.push_back({"Accept-Encoding", std::string(DeflateCoding)});
    m_client.call(peer, request, PeerCallTimeout,
                  [this, peer](Result<HttpReply, HttpFailure> reply) {
                      const Instant now = Clock::now();
                      if (!reply) {
                          m_dissemination->onPeerFailed(now);
                          return;
                      }
                      m_counters.controlBytesReceived += reply.value().body.size() + HttpOverhead;
                      const auto batch = decodeBatch(reply.value());
                      if (!batch) {
                          ++m_counters.badControl;
                          logError("invalid changes from peer " + peer.str() + ": "
                                   + describe(batch.error()));
                          m_dissemination->onPeerFailed(now);
                          return;
                      }
                      m_dissemination->onPeerBatch(batch.value(), now);
                  });
}

void ControlPlane::readPlatform(Revision since, bool watch)
{
    if (isBlocked(m_settings.platform)) {
        m_dissemination->onPlatformFailed(Clock::now());
        return;
    }
    if (m_hooks.source) {
        m_hooks.source(since, watch,
                       [this](Result<ChangeBatch> batch) { onPlatformReply(std::move(batch)); });
        return;
    }
    HttpRequest request;
    request.target = "/v1/changes?since=" + std::to_string(since.value());
    Millis timeout = PlatformCallTimeout;
    if (watch) {
        request.target += "&wait=" + std::to_string(WatchWaitMax.count());
        timeout += WatchWaitMax;
    }
    m_client.call(m_settings.platform, request, timeout,
                  [this](Result<HttpReply, HttpFailure> reply) {
                      constexpr std::uint16_t Ok = 200;
                      if (!reply) {
                          onPlatformReply(reply.error().error);
                          return;
                      }
                      if (reply.value().status != Ok) {
                          onPlatformReply(Error {ErrorCode::Refused,
                                                 "platform answered a read with HTTP status "
                                                     + std::to_string(reply.value().status),
                                                 reply.value().status});
                          return;
                      }
                      m_counters.controlBytesReceived += reply.value().body.size() + HttpOverhead;
                      onPlatformReply(batchFromJson(reply.value().body));
                  });
}

void ControlPlane::confirmView(Revision since)
{
    if (!m_hooks.source || isBlocked(m_settings.platform)) {
        m_dissemination->onConfirmationFailed(Clock::now());
        return;
    }
    m_hooks.source(since, false, [this](Result<ChangeBatch> batch) {
        if (!batch || isBlocked(m_settings.platform)) {
            m_dissemination->onConfirmationFailed(Clock::now());
        } else {
            m_dissemination->onConfirmationBatch(batch.value(), Clock::now());
        }
    });
}

void ControlPlane::onPlatformReply(Result<ChangeBatch> batch)
{
    const Instant now = Clock::now();
    if (!batch || isBlocked(m_settings.platform)) {
        if (!batch && batch.error().code == ErrorCode::BadJson) {
            ++m_counters.badControl;
        }
        if (m_platformReachable) {
            m_platformReachable = false;
            logEvent("platform lost",
                     {{"error", batch ? "cut" : describe(batch.error())},
                      {"revision", m_dissemination->revision().value()}});
        }
        m_dissemination->onPlatformFailed(now);
        return;
    }
    if (!m_platformReachable) {
        m_platformReachable = true;
        logEvent("platform regained", {{"revision", batch.value().upTo.value()}});
    }
    m_dissemination->onPlatformBatch(batch.value(), now);
}

void ControlPlane::readVmList()
{
    HttpRequest request;
    request.target = "/v1/vms";
    m_client.call(m_settings.platform, request, PlatformCallTimeout,
                  [this](Result<HttpReply, HttpFailure> reply) {
                      if (!reply) {
                          return;
                      }
                      m_counters.controlBytesReceived += reply.value().body.size() + HttpOverhead;
                      const auto vms = vmsFromJson(reply.value().body);
                      if (!vms) {
                          ++m_counters.badControl;
                          return;
                      }
                      m_dissemination->onVmList(vms.value(), Clock::now());
                  });
}

} // namespace bergamotglade
