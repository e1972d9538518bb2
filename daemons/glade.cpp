#include <bergamotglade/detail/cli/commands.hpp>

#include <gflags/gflags.h>

#include <iostream>
#include <sstream>

DEFINE_string(at, "", "addresses of processes, separated by commas");
DEFINE_string(document, "", "directory of the configuration document: root.yaml and its sections");
DEFINE_bool(json, false, "print JSON");
DEFINE_int64(deadline_ms, 2000, "deadline of a call in ms");
DEFINE_string(body, "", "request body of a call");
DEFINE_string(listen, "127.0.0.1:0", "listen address of `glade front`");

namespace {

using namespace bergamotglade;

constexpr const char *Usage =
    "usage: glade COMMAND [flags]\n"
    "  check --document DIR                       print the findings of a configuration document\n"
    "  explain SERVICE CALLER (--document|--at)   explain where a flow goes and why\n"
    "  explain 'CALLER>SERVICE' --at A,B          show what processes know of a steered flow\n"
    "  status --at A,B                            show the status of each process\n"
    "  burn --at A,B                              show burn rates of error budgets\n"
    "  call SERVICE METHOD PATH --at A,B          send one request\n"
    "  front --at A,B [--listen ADDRESS]          run an HTTP gateway for plain HTTP clients\n";

bool parseOptions(CliOptions &options)
{
    std::istringstream list(FLAGS_at);
    std::string item;
    bool ok = true;
    while (std::getline(list, item, ',')) {
        const auto endpoint = Endpoint::parse(item);
        if (endpoint) {
            options.processes.push_back(endpoint.value());
        } else {
            std::cerr << "--at: " << describe(endpoint.error()) << '\n';
            ok = false;
        }
    }
    const auto listen = Endpoint::parse(FLAGS_listen);
    if (!listen) {
        std::cerr << "--listen: " << describe(listen.error()) << '\n';
        return false;
    }
    options.listen = listen.value();
    options.document = FLAGS_document;
    options.json = FLAGS_json;
    options.deadline = Millis(FLAGS_deadline_ms);
    options.body = FLAGS_body;
    return ok;
}

int run(const std::vector<std::string> &arguments, const CliOptions &options)
{
    const std::string command = arguments.empty() ? "" : arguments[0];
    const std::size_t count = arguments.size();
    if (command == "check" && count == 1) {
        return checkCommand(options, std::cout, std::cerr);
    }
    if (command == "explain" && count == 3) {
        return explainCommand(options, arguments[1], arguments[2], std::cout, std::cerr);
    }
    if (command == "explain" && count == 2) {
        return explainFlowCommand(options, arguments[1], std::cout, std::cerr);
    }
    if (command == "status" && count == 1) {
        return statusCommand(options, std::cout, std::cerr);
    }
    if (command == "burn" && count == 1) {
        return burnCommand(options, std::cout, std::cerr);
    }
    if (command == "call" && count == 4) {
        return callCommand(options, arguments[1], arguments[2], arguments[3], std::cout, std::cerr);
    }
    if (command == "front" && count == 1) {
        return frontCommand(options, std::cout, std::cerr);
    }
    std::cerr << Usage;
    return CliUsage;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(Usage);
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    CliOptions options;
    if (!parseOptions(options)) {
        return CliUsage;
    }
    return run(std::vector<std::string>(argv + 1, argv + argc), options);
}
