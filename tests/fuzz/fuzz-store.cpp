#include <bergamotglade/detail/steering/directory.hpp>

#include <store_items.hpp>

/// Arbitrary replies of the store must not crash the decoder or the directory.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace bergamotglade;
    constexpr std::uint16_t AgentPort = 8172;
    const std::string body(reinterpret_cast<const char *>(data), size);
    const auto page = platform::readStorePage(body, AgentPort);
    if (!page) {
        return 0;
    }
    Directory directory;
    for (const SectionChange &change : page.value().changes) {
        (void)directory.applySection(change, Instant());
    }
    return 0;
}
