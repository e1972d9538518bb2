/// @file
/// Converts the exceptions of JSON parsing and decoding to errors.
#pragma once

#include <bergamotglade/detail/core/error.hpp>

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <string>
#include <string_view>

namespace bergamotglade {

/// A value of the right JSON type but without a valid meaning; thrown within decodeJson().
class InvalidValue : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// @brief Parses JSON text and decodes it.
/// @param text JSON
/// @param read decodes the parsed value; may throw json::exception or InvalidValue
/// @return the result of `read`, or ErrorCode::BadJson with the position of a syntax error
template <typename T, typename Read>
Result<T> decodeJson(std::string_view text, Read read)
{
    try {
        return read(nlohmann::json::parse(text));
    } catch (const nlohmann::json::parse_error &error) {
        return Error {ErrorCode::BadJson, error.what(), error.byte};
    } catch (const nlohmann::json::exception &error) {
        return Error {ErrorCode::BadJson, error.what()};
    } catch (const InvalidValue &error) {
        return Error {ErrorCode::BadJson, error.what()};
    }
}

} // namespace bergamotglade
