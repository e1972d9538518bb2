#include "machine.hpp"

#include <fstream>

namespace bergamotglade::soak {

Machine::Machine(std::string name, std::uint32_t address, std::string domain)
    : m_name(std::move(name))
    , m_address(address)
    , m_domain(std::move(domain))
{ }

Result<void> Machine::start(const Paths &paths, const Ports &ports, const Endpoint &store,
                            const std::vector<Endpoint> &peers)
{
    const auto addressWithPort = [&](std::uint16_t port) {
        return Endpoint {m_address, port}.str();
    };
    const std::string settings = paths.workDirectory + "/" + m_name + ".yaml";
    std::ofstream file(settings);
    file << "vm: " << m_name << "\nfailure_domain: " << m_domain
         << "\nlisten: " << addressWithPort(ports.control) << "\nplatform: " << store.str()
         << "\npeers: [";
    for (std::size_t i = 0; i < peers.size(); ++i) {
        file << (i == 0 ? "" : ", ") << '"' << peers[i].str() << '"';
    }
    file << "]\npeers_at_own_port: true\nstop_timeout: 5s\nsteering:\n  packets: "
         << addressWithPort(ports.packets) << "\n  ready: " << addressWithPort(ports.ready) << '\n';
    if (m_service) {
        file << "  from_upstream: " << addressWithPort(ports.fromUpstream)
             << "\nupstream: " << m_name << "\nservice: " << *m_service
             << "\nupstream_address: " << addressWithPort(ports.upstream) << '\n';
    }
    file.close();
    const std::string program =
        paths.binaryDirectory + (m_service ? "/glade-agent" : "/glade-balancer");
    auto child = scenario::ChildProcess::start(program, {"--settings=" + settings},
                                               paths.workDirectory + "/" + m_name + ".log");
    if (!child) {
        return child.error();
    }
    m_child = std::move(child.value());
    return boost::outcome_v2::success();
}

void Machine::signal(int number)
{
    if (m_child) {
        m_child->signal(number);
    }
}

bool Machine::reap()
{
    if (m_child && m_child->wait(Millis(0)) != -1) {
        m_child.reset();
        return true;
    }
    return false;
}

} // namespace bergamotglade::soak
