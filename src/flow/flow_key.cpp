#include <bergamotglade/detail/flow/flow_key.hpp>

#include <array>
#include <charconv>

namespace bergamotglade {

namespace {

constexpr int HexBase = 16;

std::string hex(std::uint64_t value)
{
    std::array<char, HexBase> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, HexBase);
    return {digits.data(), end.ptr};
}

bool readHex(std::string_view text, std::uint64_t &out)
{
    const char *end = text.data() + text.size();
    const auto [next, error] = std::from_chars(text.data(), end, out, HexBase);
    return error == std::errc() && next == end;
}

} // namespace

std::string OwnerToken::str() const
{
    return agent.str() + '/' + hex(incarnation.value()) + '/' + hex(nonce.value());
}

Result<OwnerToken> OwnerToken::parse(std::string_view text)
{
    const Error bad {ErrorCode::BadHttp,
                     "malformed owner token: expected address/incarnation/nonce"};
    const auto first = text.find('/');
    const auto second = first == std::string_view::npos ? first : text.find('/', first + 1);
    if (second == std::string_view::npos) {
        return bad;
    }
    const auto agent = Endpoint::parse(text.substr(0, first));
    std::uint64_t incarnation = 0;
    std::uint64_t nonce = 0;
    if (!agent || !readHex(text.substr(first + 1, second - first - 1), incarnation)
        || !readHex(text.substr(second + 1), nonce)) {
        return bad;
    }
    return OwnerToken {agent.value(), Incarnation(incarnation), FlowNonce(nonce)};
}

} // namespace bergamotglade
