#include "runner.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <iomanip>
#include <iostream>
#include <thread>

namespace bergamotglade::scenario {

namespace {

constexpr Millis StopTimeout {20'000};

Result<void> succeeded()
{
    return boost::outcome_v2::success();
}

Error scenarioError(const std::string &description)
{
    return {ErrorCode::BadDocument, description};
}

Millis durationOr(const YAML::Node &node, Millis defaultValue)
{
    if (!node || !node.IsScalar()) {
        return defaultValue;
    }
    return parseDuration(node.Scalar()).value_or(defaultValue);
}

bool matchesPattern(const std::string &name, const std::string &pattern)
{
    if (!pattern.empty() && pattern.back() == '*') {
        return name.starts_with(pattern.substr(0, pattern.size() - 1));
    }
    return name == pattern;
}

} // namespace

bool Report::passed() const
{
    return std::all_of(verdicts.begin(), verdicts.end(), [](const Verdict &v) { return v.held; });
}

Runner::Runner(Fleet &fleet, std::ostream &out)
    : m_fleet(fleet)
    , m_out(out)
{ }

Runner::~Runner() = default;

Result<void> Runner::run(const YAML::Node &steps)
{
    static const std::map<std::string, Step> Steps {
        {"load", &Runner::startLoad}, {"finish", &Runner::finishLoad},
        {"edit", &Runner::edit},      {"raw", &Runner::raw},
        {"start", &Runner::start},    {"stop", &Runner::stop},
        {"kill", &Runner::kill},      {"freeze", &Runner::freeze},
        {"wake", &Runner::wake},      {"cold", &Runner::cold},
        {"speed", &Runner::speed},    {"platform", &Runner::platform},
        {"cut", &Runner::cut},        {"heal", &Runner::heal},
        {"wait", &Runner::wait},      {"await", &Runner::await},
        {"mark", &Runner::mark},      {"quiet", &Runner::quiet},
        {"expect", &Runner::expect},
    };
    for (const YAML::Node &step : steps) {
        std::string location = "line ";
        location += std::to_string(step.Mark().line + 1);
        if (!step.IsMap() || step.size() != 1) {
            return scenarioError(location + ": a step must be a map with exactly one key");
        }
        const std::string name = step.begin()->first.as<std::string>("");
        const auto found = Steps.find(name);
        if (found == Steps.end()) {
            return scenarioError(location.append(": unknown step ").append(name));
        }
        m_out << "  " << name << ' ' << YAML::Dump(step.begin()->second) << std::endl;
        const auto result = (this->*found->second)(step.begin()->second);
        if (!result) {
            return scenarioError(location + ": " + result.error().message);
        }
    }
    return succeeded();
}

std::vector<std::string> Runner::matchingProcesses(const YAML::Node &node) const
{
    std::vector<std::string> patterns;
    if (node.IsSequence()) {
        for (const YAML::Node &item : node) {
            patterns.push_back(item.as<std::string>(""));
        }
    } else {
        patterns.push_back(node.as<std::string>(""));
    }
    std::vector<std::string> names;
    for (const std::string &pattern : patterns) {
        for (const std::string &name : m_fleet.processNames()) {
            if (matchesPattern(name, pattern)) {
                names.push_back(name);
            }
        }
    }
    return names;
}

Result<void> Runner::forEachProcess(const YAML::Node &node,
                                    const std::function<Result<void>(const std::string &)> &action)
{
    const auto names = matchingProcesses(node);
    if (names.empty()) {
        return scenarioError("no process matches " + YAML::Dump(node));
    }
    for (const std::string &name : names) {
        BOOST_OUTCOME_TRYV(action(name));
    }
    return succeeded();
}

Result<void> Runner::startLoad(const YAML::Node &node)
{
    FindingSink sink {"scenario", "", {}};
    LoadSettings settings = readLoad(node, sink);
    if (hasErrors(sink.findings)) {
        return scenarioError(describe(sink.findings.front()));
    }
    const std::string name = settings.name;
    CallerRoute route = m_fleet.route(settings.service);
    m_loads[name] = std::make_unique<Load>(std::move(settings), std::move(route));
    return succeeded();
}

Result<void> Runner::finishLoad(const YAML::Node &node)
{
    const std::string name = node.as<std::string>("load");
    const auto found = m_loads.find(name);
    if (found == m_loads.end()) {
        return scenarioError("unknown load '" + name + "'");
    }
    const LoadResult &result = found->second->finish();
    const LoadSettings &settings = found->second->settings();
    m_report.figures[name] = evaluate(result, settings, m_fleet.runCounts());
    m_report.timelines[name] = inTimeShares(result, settings);
    return succeeded();
}

Result<void> Runner::edit(const YAML::Node &node)
{
    FleetSpec &spec = m_fleet.spec();
    const std::string stateName = node["state"].as<std::string>("in");
    const AdminState state = stateName == "out" ? AdminState::Out : AdminState::In;
    if (node["domain"]) {
        for (FailureDomain &domain : spec.domains) {
            if (domain.id.str() == node["domain"].as<std::string>("")) {
                domain.state = state;
            }
        }
    } else if (node["upstream"]) {
        UpstreamSpec *upstream = spec.find(node["upstream"].as<std::string>(""));
        if (upstream == nullptr) {
            return scenarioError("unknown upstream '" + node["upstream"].as<std::string>("") + "'");
        }
        upstream->entry.state = state;
        upstream->published = stateName != "gone";
        upstream->entry.weight =
            Weight(node["weight"].as<std::uint32_t>(upstream->entry.weight.value()));
    } else {
        return scenarioError("step 'edit' requires 'domain' or 'upstream'");
    }
    return m_fleet.publish();
}

Result<void> Runner::raw(const YAML::Node &node)
{
    return m_fleet.publishRaw(node["section"].as<std::string>(""),
                              node["text"].as<std::string>(""));
}

Result<void> Runner::start(const YAML::Node &node)
{
    return forEachProcess(node, [this](const std::string &name) { return m_fleet.start(name); });
}

Result<void> Runner::stop(const YAML::Node &node)
{
    return forEachProcess(node, [this](const std::string &name) -> Result<void> {
        const int code = m_fleet.stop(name, StopTimeout);
        if (name.starts_with("agent-") || name.starts_with("balancer-")) {
            m_report.verdicts.push_back(
                {name + " stopped with code " + std::to_string(code), code == 0});
        }
        return succeeded();
    });
}

Result<void> Runner::kill(const YAML::Node &node)
{
    return forEachProcess(node, [this](const std::string &name) {
        m_fleet.kill(name);
        return succeeded();
    });
}

Result<void> Runner::freeze(const YAML::Node &node)
{
    return forEachProcess(node, [this](const std::string &name) {
        m_fleet.signal(name, SIGSTOP);
        return succeeded();
    });
}

Result<void> Runner::wake(const YAML::Node &node)
{
    return forEachProcess(node, [this](const std::string &name) {
        m_fleet.signal(name, SIGCONT);
        return succeeded();
    });
}

Result<void> Runner::cold(const YAML::Node &node)
{
    const Millis time = durationOr(node["for"], Millis(5000));
    return forEachProcess(node["upstream"], [&](const std::string &name) -> Result<void> {
        const auto reply = m_fleet.getJson(name, "/admin/cold/" + std::to_string(time.count()));
        return reply ? succeeded() : Result<void>(reply.error());
    });
}

Result<void> Runner::speed(const YAML::Node &node)
{
    const std::string time = node["service_ms"].as<std::string>("20");
    return forEachProcess(node["upstream"], [&](const std::string &name) -> Result<void> {
        const auto reply = m_fleet.getJson(name, "/admin/speed/" + time);
        return reply ? succeeded() : Result<void>(reply.error());
    });
}

Result<void> Runner::platform(const YAML::Node &node)
{
    return m_fleet.setPlatformMode(node.as<std::string>("up"));
}

Result<void> Runner::cut(const YAML::Node &node)
{
    return m_fleet.setPartition(matchingProcesses(node["left"]), matchingProcesses(node["right"]));
}

Result<void> Runner::heal(const YAML::Node & /*node*/)
{
    return m_fleet.setPartition({}, {});
}

Result<void> Runner::wait(const YAML::Node &node)
{
    constexpr Millis WaitMax {120'000};
    std::this_thread::sleep_for(std::min(WaitMax, durationOr(node, Millis(1000))));
    return succeeded();
}

Result<void> Runner::await(const YAML::Node &node)
{
    const Millis timeout = durationOr(node["within"], Millis(11'000));
    const auto elapsed = m_fleet.awaitRevision(timeout);
    m_report.verdicts.push_back({elapsed ? "configuration in force on all processes after "
                                         + std::to_string(elapsed.value().count()) + " ms"
                                         : elapsed.error().message,
                                 static_cast<bool>(elapsed)});
    return succeeded();
}

Result<void> Runner::mark(const YAML::Node &node)
{
    const std::string domain = node["domain"].as<std::string>("");
    m_markedPackets[domain] = m_fleet.packetsReceivedIn(FailureDomainId(domain));
    return succeeded();
}

Result<void> Runner::quiet(const YAML::Node &node)
{
    const std::string domain = node["domain"].as<std::string>("");
    const double now = m_fleet.packetsReceivedIn(FailureDomainId(domain));
    const double packets = now - m_markedPackets[domain];
    m_report.verdicts.push_back({"packets into " + domain + " since the mark: "
                                     + std::to_string(static_cast<long>(packets)),
                                 packets == 0});
    return succeeded();
}

void Runner::checkFigure(const std::string &subject, const std::string &name, double bound,
                         bool isUpperBound)
{
    const Figures &figures = m_report.figures[subject];
    const auto found = figures.find(name);
    std::ostringstream description;
    description << subject << '.' << name << " = ";
    bool held = false;
    if (found == figures.end()) {
        description << "(no such figure)";
    } else {
        held = isUpperBound ? found->second <= bound : found->second >= bound;
        description << found->second;
    }
    description << (isUpperBound ? ", at most " : ", at least ") << bound;
    m_report.verdicts.push_back({description.str(), held});
}

Result<void> Runner::expect(const YAML::Node &node)
{
    const std::string subject = node["of"].as<std::string>("load");
    if (subject == "fleet") {
        m_report.figures[subject] = m_fleet.figures();
    }
    for (const char *kind : {"max", "min"}) {
        const YAML::Node bounds = node[kind];
        if (!bounds) {
            continue;
        }
        for (const auto &bound : bounds) {
            checkFigure(subject, bound.first.as<std::string>(""), bound.second.as<double>(0),
                        std::string(kind) == "max");
        }
    }
    return succeeded();
}

} // namespace bergamotglade::scenario
