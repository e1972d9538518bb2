/// @file
/// The running processes of a scenario.
#pragma once

#include "child_process.hpp"
#include "fleet_spec.hpp"
#include "load.hpp"

#include <bergamotglade/detail/net/http.hpp>

#include <nlohmann/json_fwd.hpp>

#include <map>

namespace bergamotglade::scenario {

/// How flows are placed: by the product, or by one of two baselines to compare it with.
enum class Policy : std::uint8_t {
    Product,
    Rendezvous, ///< weighted rendezvous hashing; agents pass no work to less loaded peers
    Uniform ///< as Rendezvous, but the balancers ignore weights
};

/// Directories that a fleet uses.
struct FleetPaths
{
    std::string programDirectory; ///< root of the built programs
    std::string workDirectory; ///< receives settings and logs
};

/// Starts and stops the processes, publishes their configuration and queries them.
class Fleet
{
public:
    Fleet(FleetPaths paths, FleetSpec spec, Policy policy);

    /// @name Process control
    /// @{

    /// @brief Starts all processes and waits until each daemon has applied the configuration
    /// document.
    Result<void> startAll();
    /// @brief Starts one process; a restarted one listens at its previous address.
    Result<void> start(const std::string &name);
    /// @brief Stops one process gracefully (SIGTERM).
    /// @return the exit code, 0 if it was not running, or -1 if it was killed after the timeout
    int stop(const std::string &name, Millis timeout);
    void signal(const std::string &name, int number);
    void kill(const std::string &name);
    /// @brief Stops all processes.
    /// @return false if a daemon did not stop gracefully
    bool stopAll();

    /// @}
    /// @name Document and platform
    /// @{

    /// @brief Publishes the sections whose text has changed.
    Result<void> publish();
    /// @brief Publishes the text of one section, valid or not, if it has changed.
    Result<void> publishRaw(const std::string &section, const std::string &text);
    /// @param mode `up`, `down` or `stale`, as in standins::Platform::setMode()
    Result<void> setPlatformMode(const std::string &mode);
    /// @brief Drops all traffic between the daemons of two groups; empty groups end a partition.
    Result<void> setPartition(const std::vector<std::string> &left,
                              const std::vector<std::string> &right);
    /// @brief Waits until every running daemon that is not frozen has applied the platform's latest
    /// revision.
    /// @return the time that it took, or ErrorCode::Timeout
    Result<Millis> awaitRevision(Millis timeout);

    /// @}
    /// @name Observation
    /// @{

    [[nodiscard]] CallerRoute route(const ServiceName &service) const;
    /// @brief How often the upstreams ran each request target of a method other than GET and HEAD,
    /// including upstream processes that have been stopped.
    [[nodiscard]] std::map<std::string, std::uint64_t> runCounts();
    /// @brief Figures of the whole fleet, collected from the status of its processes.
    [[nodiscard]] Figures figures();
    /// @brief Number of packets received by the agents plus requests received by the upstreams of a
    /// failure domain.
    [[nodiscard]] double packetsReceivedIn(const FailureDomainId &domain);
    [[nodiscard]] FleetSpec &spec() noexcept { return m_spec; }
    [[nodiscard]] std::vector<std::string> processNames() const;
    [[nodiscard]] Result<nlohmann::json> getJson(const std::string &name,
                                                 const std::string &target);

    /// @}

private:
    struct Member
    {
        std::string program;
        std::vector<std::string> arguments;
        /// Text of the settings file, without `listen` and `peers`; empty for stand-ins.
        std::string settings;
        Endpoint endpoint; ///< kept across restarts
        std::unique_ptr<ChildProcess> process;
        bool frozen = false; ///< by SIGSTOP; it gets no queries, as it would not answer them
    };

    void addPlatform();
    void addUpstream(const ServiceSpec &service, const UpstreamSpec &upstream, std::size_t number);
    void addAgent(const ServiceSpec &service, const UpstreamSpec &upstream);
    void addBalancer(std::size_t number);
    [[nodiscard]] std::string commonSettings(const std::string &vm,
                                             const FailureDomainId &domain) const;
    Result<void> publishVms();
    Result<void> put(const std::string &target, const std::string &body);
    /// @brief Addresses of up to four other daemons, for the setting `peers`.
    [[nodiscard]] std::string peersOf(const std::string &name) const;
    [[nodiscard]] double controlBytes(const std::string &name);
    void saveRunCounts(const std::string &name);

    FleetPaths m_paths;
    FleetSpec m_spec;
    Policy m_policy;
    std::map<std::string, Member> m_members;
    std::map<std::string, std::string> m_published; ///< text of each section
    /// Run counts of upstream processes that have been stopped, by request target.
    std::map<std::string, std::uint64_t> m_pastRunCounts;
    /// Control bytes of each process when the fleet was ready: the first transfer of the
    /// configuration is not part of the reported rate.
    std::map<std::string, double> m_initialControlBytes;
    Instant m_started;
};

} // namespace bergamotglade::scenario
