#include <bergamotglade/detail/net/json_codec.hpp>

#include <bergamotglade/detail/core/json_guard.hpp>

namespace bergamotglade {

namespace {

using nlohmann::json;

void putRevision(json &object, const char *numberKey, const char *eraKey, Revision revision)
{
    object[numberKey] = revision.value();
    if (revision.era() != 0) {
        object[eraKey] = revision.era();
    }
}

Revision revisionAt(const json &object, const char *numberKey, const char *eraKey)
{
    return Revision(integerAt<std::uint64_t>(object, numberKey),
                    integerOr<std::uint64_t>(object, eraKey, 0));
}

} // namespace

std::string toJson(const ChangeBatch &batch)
{
    json sections = json::array();
    for (const SectionChange &change : batch.changes) {
        json section {{"name", change.name.str()}};
        putRevision(section, "revision", "era", change.revision);
        if (change.removed) {
            section["removed"] = true;
            section["lapsed"] = change.lapsed;
            if (change.missing) {
                section["missing"] = true;
            }
        } else {
            section["text"] = change.text;
        }
        sections.push_back(std::move(section));
    }
    json document {{"sections", std::move(sections)}};
    putRevision(document, "since", "since_era", batch.since);
    putRevision(document, "revision", "era", batch.upTo);
    if (batch.snapshot) {
        document["snapshot"] = true;
    }
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<ChangeBatch> batchFromJson(std::string_view text)
{
    return decodeJson<ChangeBatch>(text, [](const json &document) {
        ChangeBatch batch;
        batch.since = revisionAt(document, "since", "since_era");
        batch.upTo = revisionAt(document, "revision", "era");
        batch.snapshot = document.value("snapshot", false);
        // The peer does not know when and why an unlisted section was removed: its entry may only
        // have lapsed.
        batch.afterOutage = batch.snapshot;
        for (const json &section : document.at("sections")) {
            SectionChange change;
            change.name = SectionName(section.at("name").get<std::string>());
            change.revision = revisionAt(section, "revision", "era");
            change.removed = section.value("removed", false);
            change.lapsed = section.value("lapsed", false);
            change.missing = section.value("missing", false);
            change.text = section.value("text", std::string());
            batch.changes.push_back(std::move(change));
        }
        return batch;
    });
}

std::string toJson(const std::vector<Vm> &vms)
{
    json list = json::array();
    for (const Vm &vm : vms) {
        list.push_back({{"id", vm.id.str()},
                        {"domain", vm.domain.str()},
                        {"endpoint", vm.endpoint.str()},
                        {"state", vm.leaving ? "leaving" : "live"}});
    }
    return json {{"vms", std::move(list)}}.dump();
}

Result<std::vector<Vm>> vmsFromJson(std::string_view text)
{
    std::vector<Error> addressErrors;
    auto vms = decodeJson<std::vector<Vm>>(text, [&](const json &document) {
        std::vector<Vm> list;
        for (const json &item : document.at("vms")) {
            const auto endpoint = Endpoint::parse(item.at("endpoint").get<std::string>());
            if (!endpoint) {
                addressErrors.push_back(endpoint.error());
                continue;
            }
            Vm vm;
            vm.id = VmId(item.at("id").get<std::string>());
            vm.domain = FailureDomainId(item.at("domain").get<std::string>());
            vm.endpoint = endpoint.value();
            vm.leaving = item.value("state", std::string("live")) == "leaving";
            list.push_back(std::move(vm));
        }
        return list;
    });
    if (!addressErrors.empty()) {
        return addressErrors.front();
    }
    return vms;
}

std::string toJson(const FlowExplanation &explanation)
{
    json tried = json::array();
    for (const Endpoint &agent : explanation.tried) {
        tried.push_back(agent.str());
    }
    json candidates = json::array();
    for (const FlowCandidate &candidate : explanation.candidates) {
        candidates.push_back({{"upstream", candidate.upstream.str()},
                              {"domain", candidate.domain.str()},
                              {"agent", candidate.agent.str()},
                              {"use", candidate.use},
                              {"load_age_ms", candidate.loadAge.count()},
                              {"state", candidate.state}});
    }
    json out {{"known", explanation.known},
              {"stage", explanation.stage},
              {"version", explanation.version},
              {"tried", std::move(tried)},
              {"candidates", std::move(candidates)}};
    out["target"] = explanation.target == Endpoint() ? json() : json(explanation.target.str());
    out["idle_ms"] = explanation.idle ? json(explanation.idle->count()) : json();
    return out.dump(2, ' ', false, json::error_handler_t::replace);
}

std::string toJson(const Findings &findings)
{
    json list = json::array();
    for (const Finding &finding : findings) {
        list.push_back({{"code", static_cast<unsigned>(finding.code)},
                        {"severity", finding.severity == Severity::Error ? "error" : "warning"},
                        {"file", finding.location.file},
                        {"section", finding.location.section},
                        {"line", finding.location.line},
                        {"column", finding.location.column},
                        {"message", finding.message}});
    }
    return list.dump(2, ' ', false, json::error_handler_t::replace);
}

} // namespace bergamotglade
