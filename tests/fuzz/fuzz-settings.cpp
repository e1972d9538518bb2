#include <bergamotglade/detail/daemon/settings.hpp>

#include <fstream>

#include <unistd.h>

/// Arbitrary settings files must not crash the loaders.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace bergamotglade;
    static const std::string path = "/tmp/fuzz-settings-" + std::to_string(::getpid());
    std::ofstream(path, std::ios::binary)
        .write(reinterpret_cast<const char *>(data), static_cast<std::streamsize>(size));
    (void)loadAgentSettings(path);
    (void)loadBalancerSettings(path);
    return 0;
}
