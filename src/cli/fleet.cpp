#include <bergamotglade/detail/cli/fleet.hpp>

#include <bergamotglade/detail/net/http.hpp>
#include <bergamotglade/detail/net/json_codec.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

using nlohmann::json;

constexpr Millis RequestTimeout {2000};
constexpr std::uint16_t HttpOk = 200;

Result<std::string> httpGet(const Endpoint &process, const std::string &target)
{
    HttpRequest request;
    request.target = target;
    request.host = process.str();
    const auto reply = httpCall(process, request, RequestTimeout);
    if (!reply) {
        return reply.error();
    }
    if (reply.value().status != HttpOk) {
        return Error {ErrorCode::Refused,
                      process.str() + target + " answered with HTTP status "
                          + std::to_string(reply.value().status)};
    }
    return reply.value().body;
}

RequestCounts countFrom(const json &value)
{
    return {value.value("good", std::uint64_t(0)), value.value("all", std::uint64_t(0))};
}

void fillStatus(ProcessStatus &status, const json &document)
{
    status.role = document.value("role", "");
    status.vm = VmId(document.value("vm", ""));
    status.domain = FailureDomainId(document.value("failure_domain", ""));
    status.revision = Revision(document.value("revision", std::uint64_t(0)),
                               document.value("era", std::uint64_t(0)));
    status.ready = document.value("ready", false);
    status.reader = document.value("reader", false);
    status.draining = document.value("draining", false);
    const json counters = document.value("counters", json::object());
    status.flows = counters.value("flows", 0.0);
    status.running = counters.value("running", 0.0);
    status.forwarded = counters.value("forwarded", 0.0);
    // Agents of steered connections see no answers; they count the flows that were opened.
    status.answered = counters.value("answered", counters.value("opened", 0.0));
    status.burn.service = ServiceName(document.value("service", ""));
    status.burn.upstream = UpstreamId(document.value("upstream", ""));
    status.burn.domain = status.domain;
    const json burn = document.value("burn", json::object());
    status.burn.shortWindow = countFrom(burn.value("short", json::object()));
    status.burn.longWindow = countFrom(burn.value("long", json::object()));
    status.burn.sinceStart = countFrom(burn.value("since_start", json::object()));
}

} // namespace

Result<ConfigStore> fetchStore(const Endpoint &process)
{
    const auto body = httpGet(process, "/v1/changes?since=0");
    if (!body) {
        return body.error();
    }
    const auto batch = batchFromJson(body.value());
    if (!batch) {
        return batch.error();
    }
    ConfigStore store;
    store.apply(batch.value());
    return store;
}

ProcessStatus fetchStatus(const Endpoint &process)
{
    ProcessStatus status;
    status.endpoint = process;
    const auto body = httpGet(process, "/v1/status");
    if (!body) {
        status.error = body.error().message;
        return status;
    }
    try {
        fillStatus(status, json::parse(body.value()));
        status.reached = true;
    } catch (const json::exception &error) {
        status.error = error.what();
    }
    return status;
}

Result<std::string> fetchFlow(const Endpoint &process, const FlowKey &flow)
{
    return httpGet(process,
                   "/v1/flow?caller=" + flow.caller.str() + "&service=" + flow.service.str());
}

std::vector<Endpoint> knownProcesses(const ConfigStore &store, const std::vector<Endpoint> &given)
{
    std::vector<Endpoint> all = given;
    for (const auto &service : store.view().services()) {
        for (const Upstream &upstream : service->upstreams) {
            all.push_back(upstream.agent);
        }
    }
    std::sort(all.begin(), all.end());
    all.erase(std::unique(all.begin(), all.end()), all.end());
    return all;
}

} // namespace bergamotglade
