#include "runner.hpp"

#include <bergamotglade/detail/daemon/settings.hpp>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>

DEFINE_string(policy, "product",
              "placement policy: product, or one of the baselines rendezvous and uniform");
DEFINE_string(json, "", "write the report to this file as JSON");
DEFINE_string(work, "", "directory for settings and logs; a new temporary directory if empty");

namespace {

using namespace bergamotglade;
using namespace bergamotglade::scenario;

std::optional<Policy> parsePolicy(const std::string &name)
{
    if (name == "product") {
        return Policy::Product;
    }
    if (name == "rendezvous") {
        return Policy::Rendezvous;
    }
    return name == "uniform" ? std::optional(Policy::Uniform) : std::nullopt;
}

void printReport(const Report &report)
{
    constexpr int NameWidth = 34;
    for (const auto &[subject, figures] : report.figures) {
        if (subject == "fleet") {
            continue;
        }
        std::cout << "\n" << subject << '\n';
        for (const auto &[name, value] : figures) {
            std::cout << "  " << std::left << std::setw(NameWidth) << name << std::right << value
                      << '\n';
        }
    }
    std::cout << '\n';
    for (const Verdict &verdict : report.verdicts) {
        std::cout << (verdict.held ? "  ok      " : "  FAILED  ") << verdict.description << '\n';
    }
}

void writeReport(const Report &report, const std::string &file)
{
    nlohmann::json verdicts = nlohmann::json::array();
    for (const Verdict &verdict : report.verdicts) {
        verdicts.push_back({{"what", verdict.description}, {"held", verdict.held}});
    }
    const nlohmann::json document {{"name", report.name},       {"policy", FLAGS_policy},
                                   {"passed", report.passed()}, {"verdicts", verdicts},
                                   {"figures", report.figures}, {"timelines", report.timelines}};
    std::ofstream(file) << document.dump(2) << '\n';
}

int runScenario(const std::string &file, const std::string &programDirectory, Policy policy)
{
    const auto text = readFile(file);
    if (!text) {
        std::cerr << describe(text.error()) << '\n';
        return 2;
    }
    FindingSink sink {file, "", {}};
    const YAML::Node node = loadYaml(text.value(), sink);
    FleetSpec spec;
    if (node.IsDefined()) {
        spec = readFleetSpec(node["shape"], sink);
    }
    for (const Finding &finding : sink.findings) {
        std::cerr << describe(finding) << '\n';
    }
    if (hasErrors(sink.findings)) {
        return 2;
    }
    namespace fs = std::filesystem;
    std::string workDirectory = FLAGS_work;
    if (workDirectory.empty()) {
        std::string pattern = (fs::temp_directory_path() / "glade-XXXXXX").string();
        const char *created = mkdtemp(pattern.data());
        workDirectory = created == nullptr ? "." : created;
    }
    fs::create_directories(workDirectory);
    std::cout << node["name"].as<std::string>(file) << " (" << FLAGS_policy << ")\n";
    Fleet fleet({programDirectory, workDirectory}, std::move(spec), policy);
    Runner runner(fleet, std::cout);
    const auto started = fleet.startAll();
    const auto result = started ? runner.run(node["steps"]) : started;
    Report report = runner.report();
    report.name = node["name"].as<std::string>(file);
    if (!result) {
        report.verdicts.push_back({result.error().message, false});
    }
    report.verdicts.push_back({"all daemons stopped gracefully", fleet.stopAll()});
    printReport(report);
    if (!FLAGS_json.empty()) {
        writeReport(report, FLAGS_json);
    }
    const bool passed = report.passed();
    if (passed && FLAGS_work.empty()) {
        fs::remove_all(workDirectory);
    } else {
        std::cout << "logs: " << workDirectory << '\n';
    }
    std::cout << (passed ? "PASSED " : "FAILED ") << report.name << std::endl;
    return passed ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("glade-scenario FILE.yaml [--policy NAME] [--json FILE]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto policy = parsePolicy(FLAGS_policy);
    if (argc != 2 || !policy) {
        std::cerr << "usage: glade-scenario FILE.yaml [--policy product|rendezvous|uniform]\n";
        return 2;
    }
    const auto executable = std::filesystem::canonical("/proc/self/exe");
    return runScenario(argv[1], executable.parent_path().parent_path().string(), *policy);
}
