#include <bergamotglade/detail/cli/commands.hpp>

#include <bergamotglade/detail/cli/document_files.hpp>
#include <bergamotglade/detail/cli/explain.hpp>
#include <bergamotglade/detail/cli/fleet.hpp>
#include <bergamotglade/detail/cli/front.hpp>
#include <bergamotglade/detail/net/json_codec.hpp>

#include <nlohmann/json.hpp>

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iomanip>
#include <iostream>

namespace bergamotglade {

namespace {

using nlohmann::json;

constexpr int ExitNotRun = 3;
constexpr int ExitUnknown = 4;
constexpr int ExitFastBurn = 3;

/// Loads the document that the options name: from files, or from the first process that replies.
Result<ConfigStore> loadStore(const CliOptions &options)
{
    if (!options.document.empty()) {
        const DocumentFiles files = readDocument(options.document);
        if (!files.readable) {
            return Error {ErrorCode::Io, files.findings.front().message};
        }
        ConfigStore store;
        store.apply(files.batch);
        return store;
    }
    Error lastError {ErrorCode::Io,
                     "neither a process (--at) nor a document (--document) is given"};
    for (const Endpoint &process : options.processes) {
        auto store = fetchStore(process);
        if (store) {
            return store;
        }
        lastError = store.error();
    }
    return lastError;
}

Result<CallerRoute> routeTo(const ConfigStore &store, const CliOptions &options,
                            const ServiceName &name)
{
    const auto service = store.view().service(name);
    if (!service) {
        return Error {ErrorCode::BadDocument, "no service '" + name.str() + "' in the document"};
    }
    return CallerRoute {name, service->address, options.processes};
}

int reportError(std::ostream &err, const Error &error)
{
    err << describe(error) << '\n';
    return CliUsage;
}

std::string_view levelName(BurnLevel level)
{
    switch (level) {
    case BurnLevel::Ok:
        return "ok";
    case BurnLevel::Slow:
        return "slow";
    case BurnLevel::Fast:
        return "fast";
    }
    return "ok";
}

json burnJson(const BurnLine &line)
{
    json out {{"service", line.service.str()},
              {"objective", line.objective.share},
              {"requests", line.sinceStart.all},
              {"in_time", line.sinceStart.good},
              {"short_burn", line.shortBurn},
              {"long_burn", line.longBurn},
              {"budget_left", line.budgetLeft},
              {"worst_domain", line.worstDomain.str()},
              {"worst_upstream", line.worstUpstream.str()},
              {"level", levelName(line.level)}};
    out["ends_in_ms"] =
        line.budgetExhaustedIn ? json(line.budgetExhaustedIn->count()) : json(nullptr);
    return out;
}

void printBurn(const BurnLine &line, std::ostream &out)
{
    constexpr double Percent = 100;
    constexpr double MillisPerHour = 3'600'000;
    out << std::left << std::setw(16) << line.service.str() << std::right << std::fixed
        << std::setprecision(3) << std::setw(9) << line.objective.share * Percent << '%'
        << std::setw(10) << line.sinceStart.all << std::setprecision(2) << std::setw(10)
        << line.shortBurn << std::setw(10) << line.longBurn << std::setw(9)
        << line.budgetLeft * Percent << '%' << std::setw(10);
    if (line.budgetExhaustedIn) {
        out << std::setprecision(1)
            << static_cast<double>(line.budgetExhaustedIn->count()) / MillisPerHour;
    } else {
        out << '-';
    }
    out << "  " << std::left << std::setw(6) << levelName(line.level) << line.worstDomain.str()
        << ' ' << line.worstUpstream.str() << std::right << '\n';
}

void printStatus(const ProcessStatus &s, std::ostream &out)
{
    out << std::left << std::setw(22) << s.endpoint.str();
    if (!s.reached) {
        out << "unreachable: " << s.error << '\n';
        return;
    }
    const char *state = s.draining ? "draining" : (s.ready ? "ready" : "waiting");
    out << std::setw(10) << s.role << std::setw(16) << s.vm.str() << std::setw(14) << s.domain.str()
        << std::right << std::setw(9) << s.revision.value() << ' ' << std::left << std::setw(9)
        << state << std::setw(7) << (s.reader ? "reads" : "") << std::right << std::setw(9)
        << s.flows << std::setw(9) << s.running << std::setw(11)
        << (s.role == "balancer" ? s.forwarded : s.answered) << '\n';
}

/// Prints the state of a flow in one process: its stage, then the candidates in order.
void printFlow(const Endpoint &process, const json &flow, bool withCandidates, std::ostream &out)
{
    out << process.str() << "  " << flow.value("stage", "");
    if (flow.contains("target") && flow["target"].is_string()) {
        out << " -> " << flow["target"].get<std::string>();
    }
    if (flow.contains("idle_ms") && flow["idle_ms"].is_number()) {
        out << ", last packet " << flow["idle_ms"].get<std::int64_t>() << " ms ago";
    }
    out << ", route version " << flow.value("version", std::uint64_t(0)) << '\n';
    for (const json &agent : flow.value("tried", json::array())) {
        out << "  offered to " << agent.get<std::string>() << '\n';
    }
    if (!withCandidates) {
        return;
    }
    std::size_t rank = 0;
    for (const json &candidate : flow.value("candidates", json::array())) {
        out << std::setw(4) << ++rank << "  " << std::left << std::setw(18)
            << candidate.value("upstream", "") << std::setw(14) << candidate.value("domain", "")
            << std::setw(22) << candidate.value("agent", "") << std::right << std::fixed
            << std::setprecision(2) << std::setw(6) << candidate.value("use", 0.0) << std::setw(8)
            << candidate.value("load_age_ms", std::int64_t(0)) << " ms  "
            << candidate.value("state", "") << '\n';
    }
}

json statusJson(const ProcessStatus &s)
{
    return {{"endpoint", s.endpoint.str()},
            {"reached", s.reached},
            {"error", s.error},
            {"role", s.role},
            {"vm", s.vm.str()},
            {"domain", s.domain.str()},
            {"revision", s.revision.value()},
            {"ready", s.ready},
            {"reader", s.reader},
            {"draining", s.draining},
            {"flows", s.flows},
            {"running", s.running}};
}

} // namespace

int checkCommand(const CliOptions &options, std::ostream &out, std::ostream &err)
{
    if (options.document.empty()) {
        err << "usage: glade check --document DIR\n";
        return CliUsage;
    }
    const DocumentFiles files = readDocument(options.document);
    if (options.json) {
        out << toJson(files.findings) << '\n';
    } else {
        for (const Finding &finding : files.findings) {
            out << describe(finding) << '\n';
        }
    }
    if (!files.readable) {
        return CliUsage;
    }
    if (!options.json) {
        out << files.batch.changes.size() << " files read, " << files.findings.size()
            << " findings\n";
    }
    return files.findings.empty() ? CliOk : CliProblemFound;
}

int explainCommand(const CliOptions &options, const std::string &service, const std::string &caller,
                   std::ostream &out, std::ostream &err)
{
    const auto endpoint = Endpoint::parse(caller);
    if (!endpoint) {
        return reportError(err, endpoint.error());
    }
    const auto store = loadStore(options);
    if (!store) {
        return reportError(err, store.error());
    }
    const auto lines = explainFlow(store.value().view(), ServiceName(service), endpoint.value());
    if (!lines) {
        err << describe(lines.error()) << '\n';
        return CliProblemFound;
    }
    json list = json::array();
    for (const ExplainLine &line : lines.value()) {
        list.push_back({{"rank", line.rank},
                        {"upstream", line.upstream.str()},
                        {"domain", line.domain.str()},
                        {"agent", line.agent.str()},
                        {"weight", line.weight.value()},
                        {"reason", line.reason}});
        if (!options.json) {
            out << (line.rank == 0 ? std::string("-") : std::to_string(line.rank)) << "  "
                << std::left << std::setw(18) << line.upstream.str() << std::setw(14)
                << line.domain.str() << std::setw(22) << line.agent.str() << std::right
                << std::setw(6) << line.weight.value() << "  " << line.reason << '\n';
        }
    }
    if (options.json) {
        out << list.dump(2) << '\n';
    }
    return CliOk;
}

int explainFlowCommand(const CliOptions &options, const std::string &flow, std::ostream &out,
                       std::ostream &err)
{
    const auto arrow = flow.find('>');
    const auto caller = Endpoint::parse(flow.substr(0, arrow));
    const auto service =
        Endpoint::parse(arrow == std::string::npos ? std::string() : flow.substr(arrow + 1));
    if (!caller || !service || options.processes.empty()) {
        err << "usage: glade explain 'CALLER>SERVICE' --at PROCESSES, with ADDRESS:PORT each\n";
        return CliUsage;
    }
    std::size_t reached = 0;
    bool known = false;
    json all = json::object();
    for (const Endpoint &process : options.processes) {
        const auto text = fetchFlow(process, {caller.value(), service.value()});
        const json explained = text ? json::parse(text.value(), nullptr, false) : json();
        if (!explained.is_object()) {
            err << process.str() << ": "
                << (text ? "reply is not a JSON object" : describe(text.error())) << '\n';
            continue;
        }
        ++reached;
        const bool knownHere = explained.value("known", false);
        known = known || knownHere;
        if (!options.json) {
            printFlow(process, explained, knownHere || options.processes.size() == 1, out);
        }
        all[process.str()] = explained;
    }
    if (options.json) {
        out << all.dump(2) << '\n';
    }
    return reached == 0 ? CliUsage : (known ? CliOk : CliProblemFound);
}

int statusCommand(const CliOptions &options, std::ostream &out, std::ostream &err)
{
    const auto store = loadStore(options);
    if (!store) {
        return reportError(err, store.error());
    }
    std::vector<ProcessStatus> all;
    Revision newest;
    for (const Endpoint &process : knownProcesses(store.value(), options.processes)) {
        all.push_back(fetchStatus(process));
        newest = std::max(newest, all.back().revision);
    }
    bool allCurrent = true;
    json list = json::array();
    for (const ProcessStatus &status : all) {
        allCurrent = allCurrent && status.reached && status.ready && status.revision == newest;
        if (options.json) {
            list.push_back(statusJson(status));
        } else {
            printStatus(status, out);
        }
    }
    if (options.json) {
        out << list.dump(2) << '\n';
    } else {
        out << all.size() << " processes, newest revision " << newest.value() << '\n';
    }
    return allCurrent ? CliOk : CliProblemFound;
}

int burnCommand(const CliOptions &options, std::ostream &out, std::ostream &err)
{
    const auto store = loadStore(options);
    if (!store) {
        return reportError(err, store.error());
    }
    std::vector<Service> services;
    for (const auto &service : store.value().view().services()) {
        services.push_back(*service);
    }
    std::vector<BurnSample> samples;
    std::size_t missing = 0;
    for (const Endpoint &process : knownProcesses(store.value(), {})) {
        const ProcessStatus status = fetchStatus(process);
        if (status.reached) {
            samples.push_back(status.burn);
        } else {
            ++missing;
        }
    }
    if (samples.empty()) {
        err << "no agent answered\n";
        return CliUsage;
    }
    BurnLevel worst = BurnLevel::Ok;
    json list = json::array();
    if (!options.json) {
        out << "service          objective  requests   5m burn   1h burn    left    ends(h)  "
               "level worst\n";
    }
    for (const BurnLine &line : burnReport(services, samples)) {
        worst = std::max(worst, line.level);
        if (options.json) {
            list.push_back(burnJson(line));
        } else {
            printBurn(line, out);
        }
    }
    if (options.json) {
        out << json {{"services", list}, {"agents_missing", missing}}.dump(2) << '\n';
    } else if (missing > 0) {
        out << missing << " agents did not answer; their requests are not counted\n";
    }
    if (worst == BurnLevel::Fast) {
        return ExitFastBurn;
    }
    return worst == BurnLevel::Slow ? CliProblemFound : CliOk;
}

int callCommand(const CliOptions &options, const std::string &service, const std::string &method,
                const std::string &path, std::ostream &out, std::ostream &err)
{
    const auto store = loadStore(options);
    if (!store) {
        return reportError(err, store.error());
    }
    auto route = routeTo(store.value(), options, ServiceName(service));
    if (!route) {
        return reportError(err, route.error());
    }
    boost::asio::io_context io(1);
    auto caller = UdpCaller::open(io, std::move(route.value()), systemRandom());
    if (!caller) {
        return reportError(err, caller.error());
    }
    int code = ExitUnknown;
    caller.value()->submit(
        {method, path, "", options.body, options.deadline}, [&](const CallResult &result) {
            const HttpReply reply = toHttpReply(result);
            out << reply.body;
            err << reply.status << ' ' << toString(result.outcome) << ' ' << result.elapsed.count()
                << " ms, " << result.attempts << " attempts\n";
            const bool answered = result.outcome == Outcome::Answered;
            const bool unknown = result.outcome == Outcome::Unknown;
            code = answered ? CliOk : (unknown ? ExitUnknown : ExitNotRun);
            io.stop();
        });
    io.run();
    return code;
}

int frontCommand(const CliOptions &options, std::ostream &out, std::ostream &err)
{
    const auto store = loadStore(options);
    if (!store) {
        return reportError(err, store.error());
    }
    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const auto &, int) { io.stop(); });
    const auto front = HttpFrontEnd::open(
        io, options.listen,
        [&](const ServiceName &name) -> Result<CallerRoute> {
            // Reloads the document, since services may be added after the start.
            const auto fresh = loadStore(options);
            if (!fresh) {
                return fresh.error();
            }
            return routeTo(fresh.value(), options, name);
        },
        options.deadline, systemRandom());
    if (!front) {
        return reportError(err, front.error());
    }
    out << "ready " << front.value()->local().str() << std::endl;
    io.run();
    return CliOk;
}

} // namespace bergamotglade
