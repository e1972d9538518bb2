#include <bergamotglade/detail/config/store.hpp>

#include <algorithm>
#include <set>

namespace bergamotglade {

bool ConfigStore::take(const ChangeBatch &batch)
{
    bool changed = false;
    // The root goes last, so that the sections which it lists are there when it comes into force.
    for (const SectionChange &change : batch.changes) {
        if (change.name != RootName) {
            changed |= takeOne(change);
        }
    }
    for (const SectionChange &change : batch.changes) {
        if (change.name == RootName) {
            changed |= takeOne(change);
        }
    }
    if (batch.snapshot) {
        changed |= takeAbsent(batch);
    }
    // A batch that starts after our mark leaves a gap; its sections count, its mark does not.
    const bool newer = batch.upTo > m_revision || !m_mechanisms.neverRevert;
    if (batch.since <= m_revision && newer) {
        m_revision = batch.upTo;
        changed = true;
    }
    return changed;
}

bool ConfigStore::takeOne(const SectionChange &change)
{
    Record &record = m_records[change.name];
    // A peer may hold the good text from before a revision that was rejected here unheld.
    const bool fillsGap = record.accepted == Revision() && change.revision < record.seen;
    const bool older = m_mechanisms.neverRevert && change.revision <= record.seen;
    if (older && !fillsGap) {
        ++m_counters.outdated;
        return false;
    }
    record.seen = std::max(record.seen, change.revision);
    if (m_taker) {
        return takeForeign(change, record);
    }
    return change.name == RootName ? takeRoot(change, record) : takeSection(change, record);
}

bool ConfigStore::takeAbsent(const ChangeBatch &batch)
{
    std::set<SectionName> listed;
    for (const SectionChange &change : batch.changes) {
        listed.insert(change.name);
    }
    std::vector<SectionChange> absent;
    for (const auto &[name, record] : m_records) {
        if (!record.removed && record.accepted != Revision() && record.seen < batch.upTo
            && !listed.contains(name)) {
            absent.push_back({name, batch.upTo, {}, true, batch.lapses});
        }
    }
    bool changed = false;
    for (const SectionChange &change : absent) {
        changed |= takeOne(change);
    }
    return changed;
}

bool ConfigStore::takeForeign(const SectionChange &change, Record &record)
{
    record.findings = m_taker(change);
    const bool broken = hasErrors(record.findings);
    ++(broken ? m_counters.rejected : m_counters.taken);
    if (broken && change.name == RootName) {
        return false;
    }
    record.accepted = change.revision;
    record.removed = change.removed || broken;
    record.lapsed = change.lapsed;
    record.text = record.removed ? std::string() : change.text;
    return true;
}

bool ConfigStore::takeRoot(const SectionChange &change, Record &record)
{
    auto checked = checkRoot(change.text, RootName.str());
    record.findings = std::move(checked.findings);
    if (change.removed || !checked.value) {
        ++m_counters.rejected;
        return false;
    }
    ++m_counters.taken;
    record.accepted = change.revision;
    record.text = change.text;
    m_root = std::move(*checked.value);
    rebuildView();
    return true;
}

bool ConfigStore::takeSection(const SectionChange &change, Record &record)
{
    const auto order = orderOf(change.name);
    if (change.removed) {
        record = Record {record.seen, change.revision, true, false, {}, std::nullopt, {}};
        m_view.remove(change.name);
        ++m_counters.taken;
        return true;
    }
    auto checked = checkSection(change.name, change.text, change.name.str());
    record.findings = std::move(checked.findings);
    if (!checked.value) {
        ++m_counters.rejected;
        if (!m_mechanisms.keepLastGood) {
            m_view.remove(change.name);
        }
        return false;
    }
    ++m_counters.taken;
    record.accepted = change.revision;
    record.removed = false;
    record.text = change.text;
    record.section = std::move(checked.value);
    if (order) {
        m_view.put(*record.section, *order);
    }
    return true;
}

std::optional<std::size_t> ConfigStore::orderOf(const SectionName &name) const
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
        const auto order = orderOf(name);
        if (record.section && order) {
            m_view.put(*record.section, *order);
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
    for (const auto &[name, record] : m_records) {
        if (record.accepted > since) {
            batch.changes.push_back(
                {name, record.accepted, record.text, record.removed, record.lapsed});
        }
    }
    return batch;
}

bool ConfigStore::hasRoot() const
{
    const auto root = m_records.find(RootName);
    return root != m_records.end() && root->second.accepted != Revision() && !root->second.removed;
}

bool ConfigStore::isComplete() const
{
    if (m_taker) {
        return hasRoot();
    }
    return hasRoot()
        && std::all_of(m_root.sections.begin(), m_root.sections.end(), [&](const auto &name) {
               const auto found = m_records.find(name);
               return found != m_records.end() && found->second.accepted != Revision();
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
