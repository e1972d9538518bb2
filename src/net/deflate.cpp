#include <bergamotglade/detail/net/deflate.hpp>

#include <algorithm>
#include <array>

#include <zlib.h>

namespace bergamotglade {

namespace {

/// Size of the buffer for decompressed output: one memory page.
constexpr std::size_t ChunkBytes = 4096;

Bytef *bytesOf(std::string_view text)
{
    // zlib declares its input as non-const but only reads it. The output buffer in deflated() is
    // not const.
    return reinterpret_cast<Bytef *>(const_cast<char *>(text.data()));
}

} // namespace

std::string deflated(std::string_view bytes)
{
    uLongf size = compressBound(static_cast<uLong>(bytes.size()));
    std::string compressed(size, '\0');
    // With a buffer of compressBound() bytes the call fails only if memory is exhausted.
    const int code = compress2(bytesOf(compressed), &size, bytesOf(bytes),
                               static_cast<uLong>(bytes.size()), Z_BEST_SPEED);
    if (code != Z_OK) {
        throw std::bad_alloc();
    }
    compressed.resize(size);
    return compressed;
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
    std::array<char, ChunkBytes> chunk {};
    int code = Z_OK;
    while (code == Z_OK && text.size() <= sizeMax) {
        stream.next_out = reinterpret_cast<Bytef *>(chunk.data());
        stream.avail_out = static_cast<uInt>(chunk.size());
        code = inflate(&stream, Z_NO_FLUSH);
        text.append(chunk.data(), chunk.size() - stream.avail_out);
    }
    const std::uint64_t consumed = stream.total_in;
    inflateEnd(&stream);
    if (text.size() > sizeMax) {
        return Error {ErrorCode::Oversized,
                      "decompressed body exceeds the limit of " + std::to_string(sizeMax)
                          + " bytes",
                      consumed};
    }
    if (code != Z_STREAM_END || consumed != bytes.size()) {
        return Error {ErrorCode::BadHttp, "compressed body is corrupted or truncated", consumed};
    }
    return text;
}

} // namespace bergamotglade
