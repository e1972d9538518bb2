/// @file
/// One machine of the soak: its processes' settings and signals.
#pragma once

#include "../scenario/child_process.hpp"

#include <optional>

namespace bergamotglade::soak {

/// Where programs are and where files go.
struct Paths
{
    std::string binaries; ///< directory of the daemons
    std::string work; ///< settings and logs
};

/// Ports are the same on all machines of a run.
struct Ports
{
    std::uint16_t packets = 0;
    std::uint16_t control = 0;
    std::uint16_t ready = 0;
    std::uint16_t fromUpstream = 0;
    std::uint16_t upstream = 0;
};

/// A balancer's or an agent's process on a loopback address of its own.
class Machine
{
public:
    Machine(std::string name, std::uint32_t address, std::string domain);

    /// @brief Makes it an agent's machine.
    void setUpstream(std::string service) { m_service = std::move(service); }
    Result<void> start(const Paths &paths, const Ports &ports, const Endpoint &store,
                       const std::vector<Endpoint> &peers);
    void signal(int number);
    /// @brief Whether the process has ended.
    bool reap();
    [[nodiscard]] bool running() const noexcept { return m_child != nullptr; }
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
