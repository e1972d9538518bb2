#include <bergamotglade/detail/config/view.hpp>

#include <algorithm>

namespace bergamotglade {

template <typename Key>
void ConfigView::removeDefinitions(std::unordered_map<Key, Definitions> &map, const Key &key,
                                   const SectionName &section)
{
    const auto found = map.find(key);
    if (found == map.end()) {
        return;
    }
    std::erase_if(found->second, [&](const Definition &d) { return d.section == section; });
    if (found->second.empty()) {
        map.erase(found);
    }
}

template <typename Key>
std::shared_ptr<const Service>
ConfigView::effectiveService(const std::unordered_map<Key, Definitions> &map, const Key &key)
{
    const auto found = map.find(key);
    if (found == map.end()) {
        return nullptr;
    }
    const auto first = std::min_element(
        found->second.begin(), found->second.end(),
        [](const Definition &a, const Definition &b) { return a.order < b.order; });
    return first->service;
}

std::shared_ptr<const Service> ConfigView::serviceAt(const Endpoint &address) const
{
    auto candidate = effectiveService(m_byAddress, address);
    // Another section with precedence defines a service of this name, and callers that use the name
    // mean that one.
    if (candidate && effectiveService(m_byName, candidate->name) != candidate) {
        return nullptr;
    }
    return candidate;
}

std::shared_ptr<const Service> ConfigView::service(const ServiceName &name) const
{
    return effectiveService(m_byName, name);
}

bool ConfigView::isOut(const FailureDomainId &domain) const
{
    return m_domainsOut.contains(domain);
}

Exclusion ConfigView::exclusionOf(const Upstream &upstream) const
{
    if (isOut(upstream.domain)) {
        return Exclusion::DomainOut;
    }
    if (m_vmsOut.contains(upstream.vm)) {
        return Exclusion::VmOut;
    }
    return upstream.state == AdminState::Out ? Exclusion::UpstreamOut : Exclusion::None;
}

std::vector<std::shared_ptr<const Service>> ConfigView::services() const
{
    std::vector<std::shared_ptr<const Service>> all;
    all.reserve(m_byName.size());
    for (const auto &[name, definitions] : m_byName) {
        all.push_back(effectiveService(m_byName, name));
    }
    std::sort(all.begin(), all.end(),
              [](const auto &a, const auto &b) { return a->name < b->name; });
    return all;
}

std::vector<FailureDomainId> ConfigView::domainsOut() const
{
    std::vector<FailureDomainId> all;
    for (const auto &[domain, sections] : m_domainsOut) {
        all.push_back(domain);
    }
    std::sort(all.begin(), all.end());
    return all;
}

namespace {

/// Records whether a section sets the state `out`; returns whether the merged state changed.
template <typename Key>
bool setOut(std::unordered_map<Key, std::unordered_set<SectionName>> &map, const Key &key,
            const SectionName &section, bool out)
{
    const bool before = map.contains(key);
    if (out) {
        map[key].insert(section);
    } else if (before) {
        map[key].erase(section);
        if (map[key].empty()) {
            map.erase(key);
        }
    }
    return before != map.contains(key);
}

} // namespace

void ConfigView::put(const Section &section, std::size_t order)
{
    remove(section.name);
    for (const Service &service : section.services) {
        const auto shared = std::make_shared<const Service>(service);
        m_byName[service.name].push_back({order, section.name, shared});
        m_byAddress[service.address].push_back({order, section.name, shared});
    }
    for (const FailureDomain &domain : section.domains) {
        m_placementEpoch +=
            setOut(m_domainsOut, domain.id, section.name, domain.state == AdminState::Out);
    }
    for (const VmEntry &vm : section.vms) {
        m_placementEpoch += setOut(m_vmsOut, vm.id, section.name, vm.state == AdminState::Out);
    }
    m_sections[section.name] = section;
}

void ConfigView::remove(const SectionName &name)
{
    const auto found = m_sections.find(name);
    if (found == m_sections.end()) {
        return;
    }
    for (const Service &service : found->second.services) {
        removeDefinitions(m_byName, service.name, name);
        removeDefinitions(m_byAddress, service.address, name);
    }
    for (const FailureDomain &domain : found->second.domains) {
        m_placementEpoch += setOut(m_domainsOut, domain.id, name, false);
    }
    for (const VmEntry &vm : found->second.vms) {
        m_placementEpoch += setOut(m_vmsOut, vm.id, name, false);
    }
    m_sections.erase(found);
}

} // namespace bergamotglade
