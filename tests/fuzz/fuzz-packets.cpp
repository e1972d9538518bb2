#include <packet_codec.hpp>

#include <cstdlib>

/// Arbitrary bytes must not crash the codec. Writing a trail into a packet that can be decoded must
/// not change its flow.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace bergamotglade;
    static const PacketCodec codec = platform::packetCodec();
    const std::string bytes(reinterpret_cast<const char *>(data), size);
    (void)codec.fromUpstream(bytes);
    const auto fromCaller = codec.fromCaller(bytes);
    if (fromCaller) {
        PacketBytes forwarded = bytes;
        codec.setTrail(forwarded, fromCaller.value().flow, fromCaller.value().trail);
        const auto redecoded = codec.fromCaller(forwarded);
        if (!redecoded || redecoded.value().flow != fromCaller.value().flow) {
            std::abort();
        }
    }
    return 0;
}
