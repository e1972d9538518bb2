#include "adapter.hpp"

#include <bergamotglade/detail/daemon/daemon.hpp>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "path of the settings file (YAML), see docs/CONFIGURATION.md");

int main(int argc, char **argv)
{
    using namespace bergamotglade;
    gflags::SetUsageMessage("glade-balancer --settings FILE.yaml");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty() || argc > 1) {
        std::cerr << "usage: glade-balancer --settings FILE.yaml\n";
        return static_cast<int>(ExitCode::Usage);
    }
    return static_cast<int>(runBalancer(FLAGS_settings, platform::adapter()));
}
