#include <bergamotglade/detail/net/datagram_codec.hpp>
#include <bergamotglade/detail/net/deflate.hpp>
#include <bergamotglade/detail/net/http_codec.hpp>
#include <bergamotglade/detail/net/json_codec.hpp>

#include <cstdlib>

namespace {

constexpr std::size_t InflatedMax = 1U << 20U;

/// What was read must survive its own encoding.
void checkDatagram(const std::string &bytes)
{
    using namespace bergamotglade;
    const auto datagram = decodeDatagram(bytes);
    if (!datagram) {
        return;
    }
    const std::string encoded =
        std::visit([](const auto &message) { return encode(message); }, datagram.value());
    const auto again = decodeDatagram(encoded);
    if (!again || again.value().index() != datagram.value().index()) {
        std::abort();
    }
}

} // namespace

/// Any bytes in place of a message of another process: no crash, no growth without bound.
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
