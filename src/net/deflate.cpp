#include <bergamotglade/detail/net/deflate.hpp>

#include <algorithm>
#include <array>

#include <zlib.h>

namespace bergamotglade {

namespace {

/// Output is produced in pieces of this many bytes; the kernel's usual page.
constexpr std::size_t PieceBytes = 4096;

Bytef *bytesOf(std::string_view text)
{
    // zlib's interface lacks a const here; the input is only read.
    return reinterpret_cast<Bytef *>(const_cast<char *>(text.data()));
}

} // namespace

std::string deflated(std::string_view bytes)
{
    uLongf size = compressBound(static_cast<uLong>(bytes.size()));
    std::string packed(size, '\0');
    // With a buffer of compressBound() bytes the call cannot fail but for lack of memory.
    const int code = compress2(bytesOf(packed), &size, bytesOf(bytes),
                               static_cast<uLong>(bytes.size()), Z_BEST_SPEED);
    if (code != Z_OK) {
        throw std::bad_alloc();
    }
    packed.resize(size);
    return packed;
}

Result<std::string> inflated(std::string_view bytes, std::size_t sizeMax)
{
    z_stream stream {};
    if (inflateInit(&stream) != Z_OK) {
        throw std::bad_alloc();
    }
    stream.next_in = bytesOf(bytes);
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string text;
    std::array<char, PieceBytes> piece {};
    int code = Z_OK;
    while (code == Z_OK && text.size() <= sizeMax) {
        stream.next_out = reinterpret_cast<Bytef *>(piece.data());
        stream.avail_out = static_cast<uInt>(piece.size());
        code = inflate(&stream, Z_NO_FLUSH);
        text.append(piece.data(), piece.size() - stream.avail_out);
    }
    const std::uint64_t read = stream.total_in;
    inflateEnd(&stream);
    if (text.size() > sizeMax) {
        return Error {ErrorCode::Oversized,
                      "compressed body of more than " + std::to_string(sizeMax) + " bytes", read};
    }
    if (code != Z_STREAM_END || read != bytes.size()) {
        return Error {ErrorCode::BadHttp, "compressed body is damaged or cut off", read};
    }
    return text;
}

} // namespace bergamotglade
