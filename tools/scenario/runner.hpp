/// @file
/// Runs the steps of a scenario and reports the results.
#pragma once

#include "fleet.hpp"

#include <iosfwd>
#include <set>

namespace bergamotglade::scenario {

/// Result of one check: whether an expectation held.
struct Verdict
{
    std::string description;
    bool held = false;
};

/// Results of a scenario.
struct Report
{
    std::string name;
    std::vector<Verdict> verdicts;
    /// By name of the load; those of the fleet are under "fleet".
    std::map<std::string, Figures> figures;
    /// By name of the load: share of requests answered in time, for each second.
    std::map<std::string, std::vector<double>> timelines;
    [[nodiscard]] bool passed() const;
};

/// Executes steps, which are documented in docs/SCENARIOS.md. Each step has its own handler.
class Runner
{
public:
    Runner(Fleet &fleet, std::ostream &out);
    ~Runner();

    /// @brief Runs all steps in order and stops at the first that cannot be executed. An
    /// expectation that does not hold is only recorded in the report.
    /// @param steps the list `steps` of the scenario
    /// @return ErrorCode::BadDocument with the line of the failed step
    Result<void> run(const YAML::Node &steps);
    [[nodiscard]] const Report &report() const noexcept { return m_report; }

private:
    using Step = Result<void> (Runner::*)(const YAML::Node &);

    Result<void> startLoad(const YAML::Node &node);
    Result<void> finishLoad(const YAML::Node &node);
    Result<void> edit(const YAML::Node &node);
    Result<void> raw(const YAML::Node &node);
    Result<void> start(const YAML::Node &node);
    Result<void> stop(const YAML::Node &node);
    Result<void> kill(const YAML::Node &node);
    Result<void> freeze(const YAML::Node &node);
    Result<void> wake(const YAML::Node &node);
    Result<void> cold(const YAML::Node &node);
    Result<void> speed(const YAML::Node &node);
    Result<void> platform(const YAML::Node &node);
    Result<void> cut(const YAML::Node &node);
    Result<void> heal(const YAML::Node &node);
    Result<void> wait(const YAML::Node &node);
    Result<void> await(const YAML::Node &node);
    Result<void> mark(const YAML::Node &node);
    Result<void> quiet(const YAML::Node &node);
    Result<void> expect(const YAML::Node &node);

    void checkFigure(const std::string &subject, const std::string &name, double bound,
                     bool isUpperBound);
    [[nodiscard]] std::vector<std::string> matchingProcesses(const YAML::Node &node) const;
    [[nodiscard]] Result<void>
    forEachProcess(const YAML::Node &node,
                   const std::function<Result<void>(const std::string &)> &action);

    Fleet &m_fleet;
    std::ostream &m_out;
    Report m_report;
    std::map<std::string, std::unique_ptr<Load>> m_loads;
    /// By failure domain: packets received at its last step `mark`.
    std::map<std::string, double> m_markedPackets;
};

} // namespace bergamotglade::scenario
