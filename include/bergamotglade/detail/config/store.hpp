/// @file
/// What this process holds of the document: the newest good text of every section.
#pragma once

#include <bergamotglade/detail/config/view.hpp>
#include <bergamotglade/detail/core/mechanisms.hpp>

#include <functional>
#include <map>

namespace bergamotglade {

/// Name under which the root value travels among the sections.
inline const SectionName RootName("root");

/// One value of the platform at one revision.
struct SectionChange
{
    SectionName name;
    Revision revision;
    std::string text;
    bool removed = false;
    /// Removed by expiry around an outage of the platform: it may come back at once.
    bool lapsed = false;
};

/// All that changed after `since`, complete up to `upTo`.
struct ChangeBatch
{
    Revision since;
    Revision upTo;
    std::vector<SectionChange> changes;
    /// Lists every section that exists: what it lacks has been removed.
    bool snapshot = false;
    /// The platform was away shortly before: what it removed may only have expired.
    bool lapses = false;
};

/// Reads a section in place of the document's own reader and applies it.
/// @return findings; an error among them makes the section count as removed
using SectionTaker = std::function<Findings(const SectionChange &)>;

/// Counts of what the store did.
struct StoreCounters
{
    std::uint64_t taken = 0;
    std::uint64_t rejected = 0;
    std::uint64_t outdated = 0;
};

/// Holds sections; a section never goes back to an earlier revision, and a broken revision leaves
/// the last good one in force.
class ConfigStore
{
public:
    /// @param taker reads the sections of another form of document; none for the YAML form
    explicit ConfigStore(Mechanisms mechanisms = {}, SectionTaker taker = {})
        : m_mechanisms(mechanisms)
        , m_taker(std::move(taker))
    { }

    /// @brief Takes what is newer than what is held.
    /// @param batch from the platform or a peer; may be old, doubled or out of order
    /// @return whether anything came into force or the mark rose
    /// @errors none; broken sections become findings()
    /// @complexity linear in the text of the sections that are newer
    bool take(const ChangeBatch &batch);

    /// @brief Sections in force that are newer than `since`, for a peer.
    [[nodiscard]] ChangeBatch changesSince(Revision since) const;

    /// @brief Every revision up to here has been seen.
    [[nodiscard]] Revision revision() const noexcept { return m_revision; }
    /// @brief Whether a good root is held.
    [[nodiscard]] bool hasRoot() const;
    /// @brief Whether each section of the root has a good text here.
    [[nodiscard]] bool isComplete() const;
    [[nodiscard]] const View &view() const noexcept { return m_view; }
    /// @brief Findings of the newest text of each section, in force or not.
    [[nodiscard]] Findings findings() const;
    [[nodiscard]] const StoreCounters &counters() const noexcept { return m_counters; }

private:
    struct Record
    {
        Revision seen;
        Revision accepted;
        bool removed = false;
        bool lapsed = false;
        std::string text;
        std::optional<Section> section;
        Findings findings;
    };

    bool takeOne(const SectionChange &change);
    bool takeAbsent(const ChangeBatch &batch);
    bool takeForeign(const SectionChange &change, Record &record);
    bool takeRoot(const SectionChange &change, Record &record);
    bool takeSection(const SectionChange &change, Record &record);
    [[nodiscard]] std::optional<std::size_t> orderOf(const SectionName &name) const;
    void rebuildView();

    Mechanisms m_mechanisms;
    SectionTaker m_taker;
    std::map<SectionName, Record> m_records;
    Root m_root;
    View m_view;
    Revision m_revision;
    StoreCounters m_counters;
};

} // namespace bergamotglade
