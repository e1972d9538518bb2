/// @file
/// The configuration held by this process: the newest valid text of every section.
#pragma once

#include <bergamotglade/detail/config/view.hpp>
#include <bergamotglade/detail/core/mechanisms.hpp>

#include <functional>
#include <map>

namespace bergamotglade {

/// Name of the root value in lists of sections.
inline const SectionName RootName("root");

/// One value of the platform at one revision.
struct SectionChange
{
    SectionName name;
    Revision revision;
    std::string text;
    bool removed = false;
    /// Removed soon after a platform outage, possibly by an expired lease: it may reappear soon.
    bool lapsed = false;
    /// Removed because the first snapshot of a higher era lacks it: its writer may write it again.
    bool missing = false;
};

/// All changes after `since`, complete up to `upTo`.
struct ChangeBatch
{
    Revision since;
    Revision upTo;
    std::vector<SectionChange> changes;
    /// Lists all existing sections; a section that is not listed has been removed.
    bool snapshot = false;
    /// Read soon after a platform outage: removals may only be leases that expired.
    bool afterOutage = false;
};

/// Parses and applies a section of another document format, in place of the YAML parser. An invalid
/// root is ignored.
/// @return findings; if any is an error, the section counts as removed
using SectionHandler = std::function<Findings(const SectionChange &)>;

/// Hooks that keep newer content when the platform was restored from a copy.
struct ContentOrder
{
    /// Whether the offered text is older than the text in force of the same section.
    std::function<bool(const SectionChange &offered, const std::string &inForce)> isOlder;
    /// Called with a change whose text was not taken.
    std::function<void(const SectionChange &)> onKept;
};

/// Numbers of changes that the store applied, rejected as invalid and ignored as outdated.
struct StoreCounters
{
    std::uint64_t applied = 0;
    std::uint64_t rejected = 0;
    std::uint64_t outdated = 0;
    std::uint64_t kept = 0; ///< older contents of a higher era, not applied
};

/// Stores the sections. A section never reverts to an earlier revision. An invalid revision leaves
/// the last valid one in effect; with a SectionHandler, this holds for the root only, and any other
/// section counts as removed.
class ConfigStore
{
public:
    /// @param sectionHandler applies sections of another document format; empty for YAML
    /// @param contentOrder used for revisions with an era; empty if contents have no order
    explicit ConfigStore(Mechanisms mechanisms = {}, SectionHandler sectionHandler = {},
                         ContentOrder contentOrder = {})
        : m_mechanisms(mechanisms)
        , m_sectionHandler(std::move(sectionHandler))
        , m_contentOrder(std::move(contentOrder))
    { }

    /// @brief Applies the changes that are newer than the stored revisions.
    /// @param batch from the platform or a peer; may be old, duplicated or out of order
    /// @return whether a change took effect or revision() increased
    /// @errors none; invalid sections are reported by findings()
    /// @complexity linear in the text of the newer sections
    bool apply(const ChangeBatch &batch);

    /// @brief The valid texts and the removals that are newer than `since`, to be sent to a peer;
    /// a snapshot if removals after `since` may be unknown. Without an era never a snapshot.
    [[nodiscard]] ChangeBatch changesSince(Revision since) const;

    /// @brief The revision up to which all changes have been received.
    [[nodiscard]] Revision revision() const noexcept { return m_revision; }
    /// @brief Whether a valid root is stored.
    [[nodiscard]] bool hasRoot() const;
    /// @brief Whether each section that the root lists has a valid text or was removed. With a
    /// SectionHandler, whether a valid root is stored.
    [[nodiscard]] bool isComplete() const;
    [[nodiscard]] const ConfigView &view() const noexcept { return m_view; }
    /// @brief Findings of the newest text of each section, whether in effect or not.
    [[nodiscard]] Findings findings() const;
    [[nodiscard]] const StoreCounters &counters() const noexcept { return m_counters; }

private:
    struct Record
    {
        Revision seenRevision; ///< newest revision received, valid or not
        Revision acceptedRevision; ///< revision of the text or removal in effect, 0 if none
        bool removed = false;
        bool lapsed = false;
        bool missing = false;
        std::string text;
        std::optional<Section> section;
        Findings findings;
    };

    bool applyChange(const SectionChange &change);
    bool keepNewer(const SectionChange &change, Revision upTo);
    bool removeUnlisted(const ChangeBatch &batch);
    bool applyWithHandler(const SectionChange &change, Record &record);
    bool applyRoot(const SectionChange &change, Record &record);
    bool applySection(const SectionChange &change, Record &record);
    [[nodiscard]] std::optional<std::size_t> positionInRoot(const SectionName &name) const;
    void rebuildView();

    Mechanisms m_mechanisms;
    SectionHandler m_sectionHandler;
    ContentOrder m_contentOrder;
    std::map<SectionName, Record> m_records;
    Root m_root;
    ConfigView m_view;
    Revision m_revision;
    Revision m_snapshotRevision; ///< of the last snapshot; removals before it may be unknown
    StoreCounters m_counters;
};

} // namespace bergamotglade
