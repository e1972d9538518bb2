#include <bergamotglade/detail/config/document.hpp>
#include <bergamotglade/detail/config/yaml_map.hpp>

#include <map>
#include <set>

namespace bergamotglade {

namespace {

using Need = YamlMap::Need;

FailureDomain readDomain(const YAML::Node &node, FindingSink &sink)
{
    FailureDomain domain;
    domain.location = sink.locationOf(node.Mark());
    YamlMap map(node, "failure domain", sink);
    map.id("id", domain.id, Need::Required);
    map.state("state", domain.state);
    map.finish();
    return domain;
}

VmEntry readVm(const YAML::Node &node, FindingSink &sink)
{
    VmEntry vm;
    vm.location = sink.locationOf(node.Mark());
    YamlMap map(node, "vm", sink);
    map.id("id", vm.id, Need::Required);
    map.state("state", vm.state);
    map.finish();
    return vm;
}

Upstream readUpstream(const YAML::Node &node, FindingSink &sink)
{
    constexpr std::int64_t WeightMax = 100'000;
    Upstream upstream;
    upstream.location = sink.locationOf(node.Mark());
    YamlMap map(node, "upstream", sink);
    map.id("id", upstream.id, Need::Required);
    map.id("vm", upstream.vm);
    map.id("domain", upstream.domain, Need::Required);
    map.endpoint("agent", upstream.agent, Need::Required);
    std::int64_t weight = upstream.weight.value();
    map.integer("weight", weight, 0, WeightMax);
    map.state("state", upstream.state);
    map.finish();
    upstream.weight = Weight(static_cast<std::uint32_t>(weight));
    if (weight == 0) {
        sink.add(FindingCode::ZeroWeight, node.Mark(),
                 "upstream '" + upstream.id.str()
                     + "' has weight 0; use `state: out` to take it out of service");
    }
    return upstream;
}

Objective readObjective(const YAML::Node &node, FindingSink &sink)
{
    constexpr double ShareMax = 0.999999;
    Objective objective;
    YamlMap map(node, "objective", sink);
    map.real("share", objective.share, 0, ShareMax);
    map.duration("latency", objective.latency);
    map.duration("window", objective.window);
    map.finish();
    return objective;
}

Service readService(const YAML::Node &node, FindingSink &sink)
{
    Service service;
    service.location = sink.locationOf(node.Mark());
    YamlMap map(node, "service", sink);
    map.id("name", service.name, Need::Required);
    map.endpoint("address", service.address, Need::Required);
    map.duration("deadline", service.deadline);
    map.map("objective", [&](const YAML::Node &n) { service.objective = readObjective(n, sink); });
    map.list("upstreams",
             [&](const YAML::Node &n) { service.upstreams.push_back(readUpstream(n, sink)); });
    map.finish();
    return service;
}

/// Reports each repeated use of a key, with the location of its first use.
class UniquenessCheck
{
public:
    UniquenessCheck(Findings &findings, FindingCode code, std::string subject)
        : m_findings(findings)
        , m_code(code)
        , m_subject(std::move(subject))
    { }

    void add(const std::string &key, const SourceLocation &location)
    {
        const auto [first, isNew] = m_first.emplace(key, location);
        if (isNew || key.empty()) {
            return;
        }
        std::string where = first->second.file + ':' + std::to_string(first->second.line);
        m_findings.push_back({m_code, Severity::Error, location,
                              m_subject + " '" + key + "' is already used at " + where + " ["
                                  + first->second.section + ']'});
    }

private:
    Findings &m_findings;
    FindingCode m_code;
    std::string m_subject;
    std::map<std::string, SourceLocation> m_first;
};

void checkUnique(const std::vector<const Section *> &sections, Findings &findings)
{
    UniquenessCheck services(findings, FindingCode::DuplicateId, "service");
    UniquenessCheck addresses(findings, FindingCode::AddressConflict, "address");
    UniquenessCheck upstreams(findings, FindingCode::DuplicateId, "upstream");
    UniquenessCheck agents(findings, FindingCode::AddressConflict, "agent address");
    UniquenessCheck domains(findings, FindingCode::DuplicateId, "failure domain");
    UniquenessCheck vms(findings, FindingCode::DuplicateId, "vm");
    for (const Section *section : sections) {
        for (const FailureDomain &domain : section->domains) {
            domains.add(domain.id.str(), domain.location);
        }
        for (const VmEntry &vm : section->vms) {
            vms.add(vm.id.str(), vm.location);
        }
        for (const Service &service : section->services) {
            services.add(service.name.str(), service.location);
            addresses.add(service.address.str(), service.location);
            for (const Upstream &upstream : service.upstreams) {
                upstreams.add(upstream.id.str(), upstream.location);
                agents.add(upstream.agent.str(), upstream.location);
            }
        }
    }
}

template <typename T>
CheckResult<T> toCheckResult(T value, FindingSink &sink)
{
    CheckResult<T> checked;
    checked.findings = std::move(sink.findings);
    if (!hasErrors(checked.findings)) {
        checked.value = std::move(value);
    }
    return checked;
}

} // namespace

CheckResult<Section> parseSection(const SectionName &name, std::string_view text,
                                  std::string_view file)
{
    FindingSink sink {std::string(file), name.str(), {}};
    Section section;
    section.name = name;
    const YAML::Node node = loadYaml(text, sink);
    if (node.IsDefined()) {
        YamlMap map(node, "section", sink);
        map.list("failure_domains",
                 [&](const YAML::Node &n) { section.domains.push_back(readDomain(n, sink)); });
        map.list("vms", [&](const YAML::Node &n) { section.vms.push_back(readVm(n, sink)); });
        map.list("services",
                 [&](const YAML::Node &n) { section.services.push_back(readService(n, sink)); });
        map.finish();
        checkUnique({&section}, sink.findings);
    }
    return toCheckResult(std::move(section), sink);
}

CheckResult<Root> parseRoot(std::string_view text, std::string_view file)
{
    FindingSink sink {std::string(file), "root", {}};
    Root root;
    const YAML::Node node = loadYaml(text, sink);
    if (node.IsDefined()) {
        YamlMap map(node, "root", sink);
        UniquenessCheck names(sink.findings, FindingCode::DuplicateId, "section");
        map.list(
            "sections",
            [&](const YAML::Node &n) {
                if (!n.IsScalar() || n.Scalar().empty() || n.Scalar() == "root") {
                    sink.add(FindingCode::WrongType, n.Mark(),
                             "a section name must be a non-empty string other than 'root'");
                    return;
                }
                names.add(n.Scalar(), sink.locationOf(n.Mark()));
                root.sections.emplace_back(n.Scalar());
            },
            Need::Required);
        map.finish();
    }
    return toCheckResult(std::move(root), sink);
}

Findings checkAcrossSections(const Root &root, const std::vector<Section> &sections)
{
    Findings findings;
    std::vector<const Section *> listed;
    for (const SectionName &name : root.sections) {
        for (const Section &section : sections) {
            if (section.name == name) {
                listed.push_back(&section);
            }
        }
    }
    checkUnique(listed, findings);
    std::set<FailureDomainId> declared;
    for (const Section *section : listed) {
        for (const FailureDomain &domain : section->domains) {
            declared.insert(domain.id);
        }
    }
    for (const Section *section : listed) {
        for (const Service &service : section->services) {
            if (service.upstreams.empty()) {
                findings.push_back({FindingCode::NoUpstreams, Severity::Warning, service.location,
                                    "service '" + service.name.str() + "' has no upstreams"});
            }
            for (const Upstream &upstream : service.upstreams) {
                if (!declared.contains(upstream.domain)) {
                    findings.push_back({FindingCode::UnknownReference, Severity::Error,
                                        upstream.location,
                                        "upstream '" + upstream.id.str()
                                            + "' refers to the unknown failure domain '"
                                            + upstream.domain.str() + "'"});
                }
            }
        }
    }
    return findings;
}

} // namespace bergamotglade
