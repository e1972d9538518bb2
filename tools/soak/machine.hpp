/// @file
/// One machine of the soak test: the settings file and the process of its daemon.
#pragma once

#include "../scenario/child_process.hpp"

#include <optional>

namespace bergamotglade::soak {

/// Directories that the soak test uses.
struct Paths
{
    std::string binaryDirectory; ///< directory of the daemons
    std::string workDirectory; ///< receives settings and logs
};

/// Ports, the same on all machines of a run.
struct Ports
{
    std::uint16_t packets = 0; ///< UDP, of daemons and of the caller: packets
    std::uint16_t control = 0; ///< of daemons: setting `listen`
    std::uint16_t ready = 0; ///< HTTP, of daemons: readiness
    std::uint16_t fromUpstream = 0; ///< UDP, of agents: packets from their upstreams
    std::uint16_t upstream = 0; ///< UDP, of upstreams: packets from their agents
};

/// A balancer or an agent process on a loopback address of its own.
class Machine
{
public:
    Machine(std::string name, std::uint32_t address, std::string domain);

    /// @brief Makes it the machine of an agent, whose upstream provides the given service.
    void setUpstream(std::string service) { m_service = std::move(service); }
    /// @brief Writes the settings file and starts the daemon.
    /// @param store address of the store as seen from this machine
    /// @param peers control addresses for the setting `peers`
    Result<void> start(const Paths &paths, const Ports &ports, const Endpoint &store,
                       const std::vector<Endpoint> &peers);
    void signal(int number);
    /// @brief Whether the process has ended since the last call; if so, releases it.
    bool reap();
    [[nodiscard]] bool isRunning() const noexcept { return m_child != nullptr; }
    [[nodiscard]] bool isAgent() const noexcept { return m_service.has_value(); }
    [[nodiscard]] const std::string &name() const noexcept { return m_name; }
    [[nodiscard]] const std::string &domain() const noexcept { return m_domain; }
    [[nodiscard]] std::uint32_t address() const noexcept { return m_address; }

private:
    std::string m_name;
    std::uint32_t m_address;
    std::string m_domain;
    std::optional<std::string> m_service;
    std::unique_ptr<scenario::ChildProcess> m_child;
};

} // namespace bergamotglade::soak
