/// @file
/// Findings: problems in documents and settings, each with its location, reported together.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bergamotglade {

/// The numbers are stable, so that operators can look them up in the documentation.
enum class FindingCode : std::uint16_t {
    Syntax = 101, ///< not well-formed YAML
    UnknownKey = 102, ///< a key that the mapping does not have
    MissingKey = 103, ///< a required key is absent
    WrongType = 104, ///< a value of the wrong type or out of range
    TooLarge = 105, ///< the text exceeds the platform's size limit for a value
    DuplicateId = 201, ///< an id or key is used twice
    UnknownReference = 202, ///< a reference to an undeclared name
    AddressConflict = 203, ///< an address is used twice
    ZeroWeight = 204, ///< an upstream, or every service of a route, has the weight 0
    MissingSection = 205, ///< a section listed by the root does not exist
    NoUpstreams = 206, ///< a service without upstreams
    OlderContent = 207, ///< content of a restored platform that is older than what is known
};

enum class Severity : std::uint8_t { Warning, Error };

/// Location in a text. Lines and columns count from 1; 0 stands for the whole file.
struct SourceLocation
{
    std::string file;
    std::string section;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
};

/// One problem and its location.
struct Finding
{
    FindingCode code = FindingCode::Syntax;
    Severity severity = Severity::Error;
    SourceLocation location;
    std::string message;
};

/// All findings of one check, in the order in which they were found.
using Findings = std::vector<Finding>;

/// @brief Whether any finding is an error.
[[nodiscard]] bool hasErrors(const Findings &findings) noexcept;

/// @brief One line of text: `file:line:column: error 202: message [section]`.
/// @example `std::cerr << describe(finding) << '\n';`
[[nodiscard]] std::string describe(const Finding &finding);

} // namespace bergamotglade
