/// @file
/// Converts the exceptions of JSON parsing and decoding to errors.
#pragma once

#include <bergamotglade/detail/core/error.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace bergamotglade {

/// A value of the right JSON type but without a valid meaning; thrown within decodeJson().
class InvalidValue : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Maximum nesting of arrays and objects. Each level costs an allocation, so that a megabyte of
/// opening brackets would take more memory than a small VM has.
inline constexpr std::size_t JsonDepthMax = 32;

/// @brief Nesting depth of arrays and objects in a text, valid JSON or not.
/// @complexity linear in the text; allocates nothing
[[nodiscard]] inline std::size_t jsonDepth(std::string_view text) noexcept
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString && c == '\\') {
            ++i;
        } else if (c == '"') {
            inString = !inString;
        } else if (!inString && (c == '[' || c == '{')) {
            deepest = std::max(deepest, ++depth);
        } else if (!inString && (c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return deepest;
}

/// @brief Parses JSON text from another process or the platform.
/// Throws json::parse_error, or InvalidValue if it is nested deeper than JsonDepthMax.
[[nodiscard]] inline nlohmann::json parseJson(std::string_view text)
{
    if (jsonDepth(text) > JsonDepthMax) {
        throw InvalidValue("nested deeper than " + std::to_string(JsonDepthMax) + " levels");
    }
    return nlohmann::json::parse(text);
}

/// @brief Reads an integer field. Throws json::exception if it is missing, or InvalidValue if it is
/// not a whole number or exceeds the limits: nlohmann::json would convert such a number unchecked.
template <typename Integer>
[[nodiscard]] Integer integerAt(const nlohmann::json &object, const char *key,
                                Integer min = std::numeric_limits<Integer>::min(),
                                Integer max = std::numeric_limits<Integer>::max())
{
    static_assert(std::is_integral_v<Integer>);
    const auto isInRange = [&](auto value) {
        return std::cmp_greater_equal(value, min) && std::cmp_less_equal(value, max);
    };
    const nlohmann::json &field = object.at(key);
    if (field.is_number_unsigned() && isInRange(field.get<std::uint64_t>())) {
        return static_cast<Integer>(field.get<std::uint64_t>());
    }
    if (field.is_number_integer() && !field.is_number_unsigned()
        && isInRange(field.get<std::int64_t>())) {
        return static_cast<Integer>(field.get<std::int64_t>());
    }
    if (field.is_number_float()) {
        constexpr double ExactMax = 9007199254740992.0; // 2^53
        const auto real = field.get<double>();
        if (std::abs(real) <= ExactMax && std::trunc(real) == real
            && isInRange(static_cast<std::int64_t>(real))) {
            return static_cast<Integer>(real);
        }
    }
    throw InvalidValue(std::string(key) + " is not a whole number between " + std::to_string(min)
                       + " and " + std::to_string(max));
}

/// @brief Like integerAt(), for a field that may be absent.
template <typename Integer>
[[nodiscard]] Integer integerOr(const nlohmann::json &object, const char *key, Integer fallback)
{
    return object.contains(key) ? integerAt<Integer>(object, key) : fallback;
}

/// @brief Parses JSON text and decodes it.
/// @param text JSON
/// @param read decodes the parsed value; may throw json::exception or InvalidValue
/// @return the result of `read`, or ErrorCode::BadJson with the position of a syntax error
template <typename T, typename Read>
Result<T> decodeJson(std::string_view text, Read read)
{
    try {
        return read(parseJson(text));
    } catch (const nlohmann::json::parse_error &error) {
        return Error {ErrorCode::BadJson, error.what(), error.byte};
    } catch (const nlohmann::json::exception &error) {
        return Error {ErrorCode::BadJson, error.what()};
    } catch (const InvalidValue &error) {
        return Error {ErrorCode::BadJson, error.what()};
    }
}

} // namespace bergamotglade
