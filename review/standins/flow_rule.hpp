// The rule FLOW, part (a), as the scripts check it.
#pragma once

#include "world.hpp"

namespace review {

/// Records each reset of an open flow that its host did not send while the host lives and holds
/// the flow. The hosts of these scripts never send resets.
class FlowRule
{
public:
    /// @param idleTimeout `idle_timeout_ms` of the configuration in force
    FlowRule(World &world, Client &client, Ms idleTimeout)
        : m_world(world)
        , m_idleTimeout(idleTimeout)
    {
        client.onReset = [this](ClientFlow &flow) {
            onReset(flow);
        };
    }

    void setIdleTimeout(Ms idleTimeout) { m_idleTimeout = idleTimeout; }
    [[nodiscard]] int violations() const { return m_violations; }

private:
    static constexpr Ms FlowMaxMs = 60'000;

    void onReset(const ClientFlow &flow)
    {
        if (flow.state != ClientFlow::State::Reset) {
            return;
        }
        const Host *holder = m_world.holderOf(flow);
        const Ms idle = flow.request ? flow.idleBeforeReset : now() - flow.lastPacketAt;
        const Ms age = now() - flow.openedAt;
        const std::string facts = "flow " + flow.name + ", held by "
            + (holder == nullptr ? "no host" : "host " + holder->id) + ", idle for "
            + std::to_string(idle) + " ms of " + std::to_string(m_idleTimeout) + ", age "
            + std::to_string(age) + " ms";
        if (holder == nullptr || idle > m_idleTimeout || age > FlowMaxMs) {
            m_world.record("FLOW: reset is excused: " + facts);
            return;
        }
        ++m_violations;
        m_world.record("FLOW BROKEN: reset that the host did not send: " + facts);
    }

    World &m_world;
    Ms m_idleTimeout;
    int m_violations = 0;
};

/// The operator's configuration of the scripts: routes to services, cold rate, idle timeout.
struct Configuration
{
    struct Route
    {
        Address address;
        std::string service;
        std::string kind = "idempotent";
    };

    int version = 1;
    std::vector<Route> routes;
    std::vector<std::string> services;
    int idleTimeoutMs = 15'000;
    double coldPerSecond = 0;

    [[nodiscard]] std::string json() const
    {
        std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
        for (std::size_t i = 0; i < routes.size(); ++i) {
            const std::string address = routes[i].address.str();
            const std::size_t colon = address.find(':');
            text += (i == 0 ? "" : ",") + std::string(R"({"name":"r-)") + std::to_string(i)
                + R"(","hostname":")" + address.substr(0, colon) + R"(","prefix":"/)"
                + address.substr(colon + 1) + R"(/","kind":")" + routes[i].kind
                + R"(","timeout_ms":10000,"target_latency_ms":500,"priority":1,"service":")"
                + routes[i].service + R"(","max_attempts":2})";
        }
        text += R"(],"services":[)";
        for (std::size_t i = 0; i < services.size(); ++i) {
            text += (i == 0 ? "" : ",") + std::string(R"({"name":")") + services[i]
                + R"(","health_path":"/health","max_connections":2000,"protocol":"h1","tls":false,)"
                + R"("cold_start_s":2.0,"cold_per_s":)" + std::to_string(coldPerSecond) + "}";
        }
        return text + R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
            + R"("header_timeout_ms":3000,"idle_timeout_ms":)" + std::to_string(idleTimeoutMs)
            + "}}";
    }
};

} // namespace review
