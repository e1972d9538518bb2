/// @file
/// Reads JSON text so that every fault of shape becomes an error.
#pragma once

#include <bergamotglade/detail/core/error.hpp>

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <string>
#include <string_view>

namespace bergamotglade {

/// A value of the right JSON type that does not mean anything; thrown within guardedJson().
class BadValue : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// @brief Runs a reader over parsed text.
/// @param text JSON
/// @param read gets the parsed value; may throw json::exception or BadValue
/// @return what the reader returned, or ErrorCode::BadJson with the position of a syntax error
template <typename T, typename Read>
Result<T> guardedJson(std::string_view text, Read read)
{
    try {
        return read(nlohmann::json::parse(text));
    } catch (const nlohmann::json::parse_error &error) {
        return Error {ErrorCode::BadJson, error.what(), error.byte};
    } catch (const nlohmann::json::exception &error) {
        return Error {ErrorCode::BadJson, error.what()};
    } catch (const BadValue &error) {
        return Error {ErrorCode::BadJson, error.what()};
    }
}

} // namespace bergamotglade
