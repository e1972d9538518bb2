/// @file
/// Reads a YAML mapping field by field and collects findings with their locations.
#pragma once

#include <bergamotglade/detail/config/document.hpp>

#include <yaml-cpp/yaml.h>

#include <functional>
#include <set>
#include <string>

namespace bergamotglade {

/// Collects the findings of one text.
struct FindingSink
{
    std::string file;
    std::string section;
    Findings findings;

    void add(FindingCode code, const YAML::Mark &mark, std::string message,
             Severity severity = Severity::Error);
    [[nodiscard]] SourceLocation locationOf(const YAML::Mark &mark) const;
};

/// @brief Parses YAML text. Reports an oversized text or a syntax error as a finding and returns an
/// undefined node.
[[nodiscard]] YAML::Node loadYaml(std::string_view text, FindingSink &sink);

/// @brief Parses a duration such as `200ms`, `2s`, `62.5s`, `5m`, `1h` or `30d`: a decimal number,
/// also with an exponent, from 0 to 1,000,000, and its unit.
/// @return the duration, fractions of a millisecond rounded up; nullopt if the text is not one
[[nodiscard]] std::optional<Millis> parseDuration(std::string_view text);

/// One mapping. Each read function leaves `out` unchanged if the key is absent or its value
/// invalid. Call finish() last: it reports duplicate keys and keys that no read function has named.
class YamlMap
{
public:
    enum class Need : std::uint8_t { Optional, Required };

    YamlMap(const YAML::Node &node, std::string subject, FindingSink &sink);

    void text(const char *key, std::string &out, Need need = Need::Optional);
    void endpoint(const char *key, Endpoint &out, Need need = Need::Optional);
    void duration(const char *key, Millis &out, Need need = Need::Optional);
    void integer(const char *key, std::int64_t &out, std::int64_t min, std::int64_t max,
                 Need need = Need::Optional);
    void real(const char *key, double &out, double min, double max, Need need = Need::Optional);
    /// @brief Like duration() and real(), for a figure that is rendered from what the platform
    /// states. It may change at any time, and no such change may keep a process from starting: an
    /// invalid figure is a warning, and `out` gets the one in force.
    /// @param inForce figure in force so far; at the start of the process, the default
    void platformDuration(const char *key, Millis &out, Millis inForce);
    void platformReal(const char *key, double &out, double min, double max, double inForce);
    void boolean(const char *key, bool &out);
    void state(const char *key, AdminState &out);
    void list(const char *key, const std::function<void(const YAML::Node &)> &each,
              Need need = Need::Optional);
    void map(const char *key, const std::function<void(const YAML::Node &)> &read,
             Need need = Need::Optional);

    template <typename Tag>
    void id(const char *key, Id<Tag> &out, Need need = Need::Optional)
    {
        std::string value = out.str();
        text(key, value, need);
        out = Id<Tag>(std::move(value));
    }

    void finish();

private:
    YAML::Node find(const char *key, Need need);
    void addWrongType(const char *key, const YAML::Node &value, const std::string &expected,
                      Severity severity = Severity::Error);
    [[nodiscard]] std::string similarKey(const std::string &key) const;

    YAML::Node m_node;
    std::string m_subject;
    FindingSink &m_sink;
    std::set<std::string> m_knownKeys;
};

} // namespace bergamotglade
