#include <bergamotglade/detail/config/store.hpp>

#include <algorithm>
#include <set>

namespace bergamotglade {

bool ConfigStore::apply(const ChangeBatch &batch)
{
    bool changed = false;
    // The root goes last, so that the sections it lists are present when it takes effect.
    for (const SectionChange &change : batch.changes) {
        if (change.name != RootName) {
            changed |= keepNewer(change, batch.upTo) || applyChange(change);
        }
    }
    for (const SectionChange &change : batch.changes) {
        if (change.name == RootName) {
            changed |= keepNewer(change, batch.upTo) || applyChange(change);
        }
    }
    if (batch.snapshot) {
        changed |= removeUnlisted(batch);
    }
    // A batch that starts after our revision omits the changes in between: its sections are
    // applied, but our revision stays.
    const bool newer = batch.upTo > m_revision || !m_mechanisms.neverRevert;
    // Only a snapshot leads into another era: the changes that the platform lost are in no batch.
    const bool continues = batch.snapshot || batch.upTo.era() == m_revision.era();
    if (batch.since <= m_revision && newer && continues) {
        m_revision = batch.upTo;
        if (batch.snapshot) {
            m_snapshotRevision = batch.upTo;
        }
        changed = true;
    }
    return changed;
}

bool ConfigStore::keepNewer(const SectionChange &change, Revision upTo)
{
    const auto known = m_records.find(change.name);
    if (change.revision.era() == 0 || change.removed || !m_contentOrder.isOlder
        || known == m_records.end()) {
        return false;
    }
    Record &record = known->second;
    if (record.acceptedRevision == Revision() || record.removed
        || change.revision <= record.seenRevision || !m_contentOrder.isOlder(change, record.text)) {
        return false;
    }
    // The newer text counts as part of the snapshot, so that peers whose revisions are older get
    // it from here.
    record.seenRevision = std::max(change.revision, upTo);
    record.acceptedRevision = record.seenRevision;
    ++m_counters.kept;
    if (m_contentOrder.onKept) {
        m_contentOrder.onKept(change);
    }
    return true;
}

bool ConfigStore::applyChange(const SectionChange &change)
{
    Record &record = m_records[change.name];
    // If all revisions seen so far were rejected, an older one from a peer is accepted.
    const bool acceptsOlder =
        record.acceptedRevision == Revision() && change.revision < record.seenRevision;
    const bool isOld = m_mechanisms.neverRevert && change.revision <= record.seenRevision;
    if (isOld && !acceptsOlder) {
        ++m_counters.outdated;
        return false;
    }
    record.seenRevision = std::max(record.seenRevision, change.revision);
    if (m_sectionHandler) {
        return applyWithHandler(change, record);
    }
    return change.name == RootName ? applyRoot(change, record) : applySection(change, record);
}

bool ConfigStore::removeUnlisted(const ChangeBatch &batch)
{
    std::set<SectionName> listed;
    for (const SectionChange &change : batch.changes) {
        if (!change.removed) {
            listed.insert(change.name);
        }
    }
    // The copy that a platform was restored from may lack what was written after it.
    const bool entersEra = batch.upTo.era() > m_revision.era();
    std::vector<SectionChange> unlisted;
    for (const auto &[name, record] : m_records) {
        if (!record.removed && record.acceptedRevision != Revision()
            && record.seenRevision < batch.upTo && !listed.contains(name)) {
            unlisted.push_back(
                {name, batch.upTo, {}, true, batch.afterOutage || entersEra, entersEra});
        }
    }
    bool changed = false;
    for (const SectionChange &change : unlisted) {
        changed |= applyChange(change);
    }
    return changed;
}

bool ConfigStore::applyWithHandler(const SectionChange &change, Record &record)
{
    record.findings = m_sectionHandler(change);
    const bool isInvalid = hasErrors(record.findings);
    const bool isOlder =
        std::any_of(record.findings.begin(), record.findings.end(),
                    [](const Finding &f) { return f.code == FindingCode::OlderContent; });
    if (isOlder) {
        ++m_counters.kept;
        if (m_contentOrder.onKept) {
            m_contentOrder.onKept(change);
        }
    }
    ++(isInvalid ? m_counters.rejected : m_counters.applied);
    if (isInvalid && change.name == RootName) {
        return false;
    }
    record.acceptedRevision = change.revision;
    record.removed = change.removed || isInvalid;
    record.lapsed = change.lapsed;
    record.missing = change.missing;
    record.text = record.removed ? std::string() : change.text;
    return true;
}

bool ConfigStore::applyRoot(const SectionChange &change, Record &record)
{
    auto checked = parseRoot(change.text, RootName.str());
    record.findings = std::move(checked.findings);
    if (change.removed || !checked.value) {
        ++m_counters.rejected;
        return false;
    }
    ++m_counters.applied;
    record.acceptedRevision = change.revision;
    record.text = change.text;
    m_root = std::move(*checked.value);
    rebuildView();
    return true;
}

bool ConfigStore::applySection(const SectionChange &change, Record &record)
{
    const auto position = positionInRoot(change.name);
    if (change.removed) {
        const Revision seen = record.seenRevision;
        record = Record();
        record.seenRevision = seen;
        record.acceptedRevision = change.revision;
        record.removed = true;
        m_view.remove(change.name);
        ++m_counters.applied;
        return true;
    }
    auto checked = parseSection(change.name, change.text, change.name.str());
    record.findings = std::move(checked.findings);
    if (!checked.value) {
        ++m_counters.rejected;
        if (!m_mechanisms.keepLastGood) {
            m_view.remove(change.name);
        }
        return false;
    }
    ++m_counters.applied;
    record.acceptedRevision = change.revision;
    record.removed = false;
    record.text = change.text;
    record.section = std::move(checked.value);
    if (position) {
        m_view.put(*record.section, *position);
    }
    return true;
}

std::optional<std::size_t> ConfigStore::positionInRoot(const SectionName &name) const
{
    const auto &names = m_root.sections;
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - names.begin());
}

void ConfigStore::rebuildView()
{
    for (const auto &[name, record] : m_records) {
        const auto position = positionInRoot(name);
        if (record.section && position) {
            m_view.put(*record.section, *position);
        } else {
            m_view.remove(name);
        }
    }
}

ChangeBatch ConfigStore::changesSince(Revision since) const
{
    ChangeBatch batch;
    batch.since = since;
    batch.upTo = m_revision;
    // A peer that asks from before the last snapshot may hold sections that were removed, or lost
    // by the platform, without any record of it here.
    batch.snapshot = m_revision.era() != 0 && since < m_snapshotRevision;
    for (const auto &[name, record] : m_records) {
        if (record.acceptedRevision > since
            || (batch.snapshot && record.acceptedRevision != Revision())) {
            batch.changes.push_back({name, record.acceptedRevision, record.text, record.removed,
                                     record.lapsed, record.missing});
        }
    }
    return batch;
}

bool ConfigStore::hasRoot() const
{
    const auto root = m_records.find(RootName);
    return root != m_records.end() && root->second.acceptedRevision != Revision()
        && !root->second.removed;
}

bool ConfigStore::isComplete() const
{
    if (m_sectionHandler) {
        return hasRoot();
    }
    return hasRoot()
        && std::all_of(m_root.sections.begin(), m_root.sections.end(), [&](const auto &name) {
               const auto found = m_records.find(name);
               return found != m_records.end() && found->second.acceptedRevision != Revision();
           });
}

Findings ConfigStore::findings() const
{
    Findings all;
    for (const auto &[name, record] : m_records) {
        all.insert(all.end(), record.findings.begin(), record.findings.end());
    }
    return all;
}

} // namespace bergamotglade
