#include <bergamotglade/detail/net/datagram_codec.hpp>
#include <bergamotglade/detail/net/deflate.hpp>
#include <bergamotglade/detail/net/http_codec.hpp>
#include <bergamotglade/detail/net/json_codec.hpp>

#include <cstdlib>

namespace {

constexpr std::size_t InflatedMax = 1U << 20U;

/// A decoded datagram that is encoded again must decode to the same kind of message.
void checkDatagram(const std::string &bytes)
{
    using namespace bergamotglade;
    const auto datagram = decodeDatagram(bytes);
    if (!datagram) {
        return;
    }
    const std::string encoded =
        std::visit([](const auto &message) { return encode(message); }, datagram.value());
    const auto redecoded = decodeDatagram(encoded);
    if (!redecoded || redecoded.value().index() != datagram.value().index()) {
        std::abort();
    }
}

} // namespace

/// Arbitrary bytes as a message from another process must not crash the decoders or exceed the
/// limit of decompression.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace bergamotglade;
    const std::string bytes(reinterpret_cast<const char *>(data), size);
    checkDatagram(bytes);
    (void)decodeHandover(bytes);
    (void)decodeRequest(bytes);
    (void)decodeResponse(bytes);
    (void)batchFromJson(bytes);
    (void)vmsFromJson(bytes);
    const auto inflatedBytes = inflated(bytes, InflatedMax);
    if (inflatedBytes && inflatedBytes.value().size() > InflatedMax) {
        std::abort();
    }
    return 0;
}
