#include <bergamotglade/detail/core/endpoint.hpp>
#include <bergamotglade/detail/core/error.hpp>
#include <bergamotglade/detail/core/finding.hpp>
#include <bergamotglade/detail/core/hash.hpp>
#include <bergamotglade/detail/core/random.hpp>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>
#include <random>

namespace bergamotglade {

bool hasErrors(const Findings &findings) noexcept
{
    return std::any_of(findings.begin(), findings.end(),
                       [](const Finding &f) { return f.severity == Severity::Error; });
}

std::string describe(const Finding &finding)
{
    std::string line = finding.location.file.empty() ? "-" : finding.location.file;
    if (finding.location.line != 0) {
        line += ':' + std::to_string(finding.location.line);
        line += ':' + std::to_string(finding.location.column);
    }
    line += finding.severity == Severity::Error ? ": error " : ": warning ";
    line += std::to_string(static_cast<unsigned>(finding.code));
    line += ": " + finding.message;
    if (!finding.location.section.empty()) {
        line += " [" + finding.location.section + ']';
    }
    return line;
}

std::string describe(const Error &error)
{
    std::string line = "error " + std::to_string(static_cast<unsigned>(error.code));
    if (error.position != 0) {
        line += " at " + std::to_string(error.position);
    }
    return line + ": " + error.message;
}

namespace {

Error badAddress(std::string_view text, const char *cursor)
{
    const auto position = static_cast<std::uint64_t>(cursor - text.data());
    return {ErrorCode::BadAddress, "expected a.b.c.d:port, got '" + std::string(text) + "'",
            position};
}

} // namespace

Result<Endpoint> Endpoint::parse(std::string_view text)
{
    constexpr int Octets = 4;
    constexpr unsigned OctetMax = 255;
    constexpr unsigned OctetBits = 8;
    const char *cursor = text.data();
    const char *end = text.data() + text.size();
    Endpoint endpoint;
    for (int i = 0; i < Octets; ++i) {
        unsigned octet = 0;
        const auto [next, error] = std::from_chars(cursor, end, octet);
        if (error != std::errc() || octet > OctetMax) {
            return badAddress(text, cursor);
        }
        const char separator = i + 1 < Octets ? '.' : ':';
        if (next == end || *next != separator) {
            return badAddress(text, next);
        }
        endpoint.address = (endpoint.address << OctetBits) | octet;
        cursor = next + 1;
    }
    const auto [next, error] = std::from_chars(cursor, end, endpoint.port);
    if (error != std::errc() || next != end) {
        return badAddress(text, cursor);
    }
    return endpoint;
}

std::string Endpoint::str() const
{
    std::string text;
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        text += std::to_string((address >> shift) & 0xffU);
        text += shift == 0 ? ':' : '.';
    }
    return text + std::to_string(port);
}

Random seededRandom(std::uint64_t seed)
{
    auto engine = std::make_shared<std::mt19937_64>(seed);
    return [engine] {
        return (*engine)();
    };
}

Random systemRandom()
{
    std::random_device device;
    constexpr unsigned HalfBits = 32;
    return seededRandom((static_cast<std::uint64_t>(device()) << HalfBits) | device());
}

std::uint64_t randomBelow(const Random &random, std::uint64_t bound)
{
    return random() % bound;
}

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hashPair(std::uint64_t a, std::uint64_t b) noexcept
{
    const std::array<std::uint64_t, 2> both {a, b};
    return XXH3_64bits(both.data(), sizeof(both));
}

} // namespace bergamotglade
