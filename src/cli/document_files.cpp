#include <bergamotglade/detail/cli/document_files.hpp>

#include <bergamotglade/detail/daemon/settings.hpp>

namespace bergamotglade {

namespace {

void append(Findings &all, const Findings &added)
{
    all.insert(all.end(), added.begin(), added.end());
}

} // namespace

DocumentFiles readDocument(const std::string &directory)
{
    DocumentFiles document;
    const Revision first(1);
    document.batch.upTo = first;
    const std::string rootFile = directory + "/root.yaml";
    const auto rootText = readFile(rootFile);
    if (!rootText) {
        document.readable = false;
        document.findings.push_back({FindingCode::MissingSection,
                                     Severity::Error,
                                     {rootFile, "root", 0, 0},
                                     rootText.error().message});
        return document;
    }
    const auto root = parseRoot(rootText.value(), rootFile);
    append(document.findings, root.findings);
    document.batch.changes.push_back({RootName, first, rootText.value(), false});
    if (!root.value) {
        return document;
    }
    std::vector<Section> sections;
    for (const SectionName &name : root.value->sections) {
        const std::string file = directory + '/' + name.str() + ".yaml";
        const auto text = readFile(file);
        if (!text) {
            document.findings.push_back({FindingCode::MissingSection,
                                         Severity::Error,
                                         {file, name.str(), 0, 0},
                                         text.error().message});
            continue;
        }
        const auto checked = parseSection(name, text.value(), file);
        append(document.findings, checked.findings);
        if (checked.value) {
            sections.push_back(*checked.value);
        }
        document.batch.changes.push_back({name, first, text.value(), false});
    }
    append(document.findings, checkAcrossSections(*root.value, sections));
    return document;
}

} // namespace bergamotglade
