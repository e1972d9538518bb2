#include <packet_codec.hpp>

#include <cstdlib>

/// Any bytes: no crash, and a packet that can be read keeps its flow when its trail is written.
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
        const auto again = codec.fromCaller(forwarded);
        if (!again || again.value().flow != fromCaller.value().flow) {
            std::abort();
        }
    }
    return 0;
}
