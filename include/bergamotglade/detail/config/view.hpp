/// @file
/// The document with its sections merged and conflicts resolved the same way in every process.
#pragma once

#include <bergamotglade/detail/config/document.hpp>

#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace bergamotglade {

/// Why an upstream receives no new flows.
enum class Exclusion : std::uint8_t { None, DomainOut, VmOut, UpstreamOut };

/// The merged document. Replacing a section takes time linear in the size of that section.
class ConfigView
{
public:
    /// @name Lookup
    /// @{

    /// @brief The service at an address, or null.
    [[nodiscard]] std::shared_ptr<const Service> serviceAt(const Endpoint &address) const;
    /// @brief The service with a name, or null.
    [[nodiscard]] std::shared_ptr<const Service> service(const ServiceName &name) const;
    [[nodiscard]] bool isOut(const FailureDomainId &domain) const;
    /// @brief Why the upstream receives no new flows, or Exclusion::None. The state of its failure
    /// domain is checked first.
    [[nodiscard]] Exclusion exclusionOf(const Upstream &upstream) const;
    /// @brief Increases whenever the state of a failure domain or VM changes.
    [[nodiscard]] std::uint64_t placementEpoch() const noexcept { return m_placementEpoch; }
    [[nodiscard]] std::vector<std::shared_ptr<const Service>> services() const;
    [[nodiscard]] std::vector<FailureDomainId> domainsOut() const;

    /// @}
    /// @name Modifiers
    /// @{

    /// @brief Inserts a section, or replaces the one with the same name.
    /// @param section the new contents
    /// @param order its position in the root; in a conflict the lowest takes precedence
    void put(const Section &section, std::size_t order);
    void remove(const SectionName &name);

    /// @}

private:
    /// A section's definition of a service. Of several definitions for one name or address, the one
    /// with the lowest order takes effect.
    struct Definition
    {
        std::size_t order = 0;
        SectionName section;
        std::shared_ptr<const Service> service;
    };
    using Definitions = std::vector<Definition>;

    template <typename Key>
    static void removeDefinitions(std::unordered_map<Key, Definitions> &map, const Key &key,
                                  const SectionName &section);
    template <typename Key>
    static std::shared_ptr<const Service>
    effectiveService(const std::unordered_map<Key, Definitions> &map, const Key &key);

    std::unordered_map<SectionName, Section> m_sections;
    std::unordered_map<ServiceName, Definitions> m_byName;
    std::unordered_map<Endpoint, Definitions> m_byAddress;
    std::unordered_map<FailureDomainId, std::unordered_set<SectionName>> m_domainsOut;
    std::unordered_map<VmId, std::unordered_set<SectionName>> m_vmsOut;
    std::uint64_t m_placementEpoch = 0;
};

} // namespace bergamotglade
