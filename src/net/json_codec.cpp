#include <bergamotglade/detail/net/json_codec.hpp>

#include <bergamotglade/detail/core/json_guard.hpp>

namespace bergamotglade {

namespace {

using nlohmann::json;

} // namespace

std::string toJson(const ChangeBatch &batch)
{
    json sections = json::array();
    for (const SectionChange &change : batch.changes) {
        json section {{"name", change.name.str()}, {"revision", change.revision.value()}};
        if (change.removed) {
            section["removed"] = true;
            section["lapsed"] = change.lapsed;
        } else {
            section["text"] = change.text;
        }
        sections.push_back(std::move(section));
    }
    const json document {{"since", batch.since.value()},
                         {"revision", batch.upTo.value()},
                         {"sections", std::move(sections)}};
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<ChangeBatch> batchFromJson(std::string_view text)
{
    return decodeJson<ChangeBatch>(text, [](const json &document) {
        ChangeBatch batch;
        batch.since = Revision(integerAt<std::uint64_t>(document, "since"));
        batch.upTo = Revision(integerAt<std::uint64_t>(document, "revision"));
        for (const json &section : document.at("sections")) {
            SectionChange change;
            change.name = SectionName(section.at("name").get<std::string>());
            change.revision = Revision(integerAt<std::uint64_t>(section, "revision"));
            change.removed = section.value("removed", false);
            change.lapsed = section.value("lapsed", false);
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
