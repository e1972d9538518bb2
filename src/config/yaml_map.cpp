#include <bergamotglade/detail/config/yaml_map.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace bergamotglade {

namespace {

std::optional<double> readReal(const YAML::Node &value, double min, double max)
{
    double number = 0;
    const bool isNumber = value.IsScalar() && YAML::convert<double>::decode(value, number);
    return isNumber && number >= min && number <= max ? std::optional(number) : std::nullopt;
}

} // namespace

SourceLocation FindingSink::locationOf(const YAML::Mark &mark) const
{
    SourceLocation location {file, section, 0, 0};
    if (!mark.is_null()) {
        location.line = static_cast<std::uint32_t>(mark.line) + 1;
        location.column = static_cast<std::uint32_t>(mark.column) + 1;
    }
    return location;
}

void FindingSink::add(FindingCode code, const YAML::Mark &mark, std::string message,
                      Severity severity)
{
    findings.push_back({code, severity, locationOf(mark), std::move(message)});
}

YAML::Node loadYaml(std::string_view text, FindingSink &sink)
{
    if (text.size() > SectionBytesMax) {
        sink.add(FindingCode::TooLarge, YAML::Mark::null_mark(),
                 std::to_string(text.size()) + " bytes exceed the limit of "
                     + std::to_string(SectionBytesMax));
        return YAML::Node(YAML::NodeType::Undefined);
    }
    try {
        return YAML::Load(std::string(text));
    } catch (const YAML::Exception &error) {
        sink.add(FindingCode::Syntax, error.mark, error.msg);
        return YAML::Node(YAML::NodeType::Undefined);
    }
}

std::optional<Millis> parseDuration(std::string_view text)
{
    struct Unit
    {
        std::string_view name;
        double millis;
    };
    static constexpr Unit Units[] = {
        {"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}, {"d", 86'400'000}};
    constexpr double CountMax = 1'000'000;
    double count = 0;
    const char *end = text.data() + text.size();
    const auto [next, error] = std::from_chars(text.data(), end, count);
    // The negated condition rejects NaN as well.
    if (error != std::errc() || !(count >= 0 && count <= CountMax)) {
        return std::nullopt;
    }
    const std::string_view unit(next, static_cast<std::size_t>(end - next));
    for (const Unit &known : Units) {
        if (unit == known.name) {
            // The product of a decimal fraction, such as 1.1 s, may be a little too large.
            constexpr double Inexactness = 1e-6;
            const double millis = std::ceil(count * known.millis - Inexactness);
            return Millis(static_cast<std::int64_t>(std::max(millis, 0.0)));
        }
    }
    return std::nullopt;
}

YamlMap::YamlMap(const YAML::Node &node, std::string subject, FindingSink &sink)
    : m_node(node)
    , m_subject(std::move(subject))
    , m_sink(sink)
{
    if (m_node.IsDefined() && !m_node.IsNull() && !m_node.IsMap()) {
        m_sink.add(FindingCode::WrongType, m_node.Mark(), m_subject + " must be a mapping");
    }
}

YAML::Node YamlMap::find(const char *key, Need need)
{
    m_knownKeys.insert(key);
    if (m_node.IsMap()) {
        const YAML::Node &map = m_node;
        const YAML::Node value = map[key];
        if (value.IsDefined()) {
            return value;
        }
    }
    if (need == Need::Required) {
        m_sink.add(FindingCode::MissingKey, m_node.Mark(),
                   m_subject + " lacks the required key '" + key + "'");
    }
    return YAML::Node(YAML::NodeType::Undefined);
}

void YamlMap::addWrongType(const char *key, const YAML::Node &value, const std::string &expected,
                           Severity severity)
{
    std::string got = value.IsScalar() ? ", got '" + value.Scalar() + "'" : "";
    m_sink.add(FindingCode::WrongType, value.Mark(),
               m_subject + ": '" + key + "' must be " + expected + got, severity);
}

void YamlMap::text(const char *key, std::string &out, Need need)
{
    const YAML::Node value = find(key, need);
    if (!value.IsDefined()) {
        return;
    }
    constexpr std::size_t TextMax = 255;
    if (!value.IsScalar() || value.Scalar().empty() || value.Scalar().size() > TextMax) {
        addWrongType(key, value, "a string of 1 to 255 bytes");
        return;
    }
    out = value.Scalar();
}

void YamlMap::endpoint(const char *key, Endpoint &out, Need need)
{
    const YAML::Node value = find(key, need);
    if (!value.IsDefined()) {
        return;
    }
    const auto parsed = Endpoint::parse(value.IsScalar() ? value.Scalar() : std::string());
    if (!parsed) {
        addWrongType(key, value, "an address such as 10.0.0.1:80");
        return;
    }
    out = parsed.value();
}

void YamlMap::duration(const char *key, Millis &out, Need need)
{
    const YAML::Node value = find(key, need);
    if (!value.IsDefined()) {
        return;
    }
    const auto parsed = parseDuration(value.IsScalar() ? value.Scalar() : std::string());
    if (!parsed) {
        addWrongType(key, value, "a duration such as 200ms, 2s, 5m, 1h or 30d");
        return;
    }
    out = *parsed;
}

void YamlMap::integer(const char *key, std::int64_t &out, std::int64_t min, std::int64_t max,
                      Need need)
{
    const YAML::Node value = find(key, need);
    if (!value.IsDefined()) {
        return;
    }
    std::int64_t number = 0;
    if (!value.IsScalar() || !YAML::convert<std::int64_t>::decode(value, number) || number < min
        || number > max) {
        addWrongType(key, value,
                     "an integer from " + std::to_string(min) + " to " + std::to_string(max));
        return;
    }
    out = number;
}

void YamlMap::real(const char *key, double &out, double min, double max, Need need)
{
    const YAML::Node value = find(key, need);
    if (!value.IsDefined()) {
        return;
    }
    const auto number = readReal(value, min, max);
    if (!number) {
        addWrongType(key, value,
                     "a number from " + std::to_string(min) + " to " + std::to_string(max));
        return;
    }
    out = *number;
}

void YamlMap::platformDuration(const char *key, Millis &out, Millis inForce)
{
    const YAML::Node value = find(key, Need::Optional);
    if (!value.IsDefined()) {
        return;
    }
    const auto parsed = parseDuration(value.IsScalar() ? value.Scalar() : std::string());
    const bool isValid = parsed && *parsed > Millis(0);
    if (!isValid) {
        addWrongType(key, value,
                     "a positive duration such as 62.5s; using " + std::to_string(inForce.count())
                         + "ms",
                     Severity::Warning);
    }
    out = isValid ? *parsed : inForce;
}

void YamlMap::platformReal(const char *key, double &out, double min, double max, double inForce)
{
    const YAML::Node value = find(key, Need::Optional);
    if (!value.IsDefined()) {
        return;
    }
    const auto number = readReal(value, min, max);
    if (!number) {
        addWrongType(key, value,
                     "a number from " + std::to_string(min) + " to " + std::to_string(max)
                         + "; using " + std::to_string(inForce),
                     Severity::Warning);
    }
    out = number.value_or(inForce);
}

void YamlMap::boolean(const char *key, bool &out)
{
    const YAML::Node value = find(key, Need::Optional);
    if (value.IsDefined() && (!value.IsScalar() || !YAML::convert<bool>::decode(value, out))) {
        addWrongType(key, value, "true or false");
    }
}

void YamlMap::state(const char *key, AdminState &out)
{
    const YAML::Node value = find(key, Need::Optional);
    if (!value.IsDefined()) {
        return;
    }
    const std::string word = value.IsScalar() ? value.Scalar() : std::string();
    if (word != "in" && word != "out") {
        addWrongType(key, value, "'in' or 'out'");
        return;
    }
    out = word == "in" ? AdminState::In : AdminState::Out;
}

void YamlMap::list(const char *key, const std::function<void(const YAML::Node &)> &each, Need need)
{
    const YAML::Node value = find(key, need);
    if (!value.IsDefined() || value.IsNull()) {
        return;
    }
    if (!value.IsSequence()) {
        addWrongType(key, value, "a list");
        return;
    }
    for (const YAML::Node &item : value) {
        each(item);
    }
}

void YamlMap::map(const char *key, const std::function<void(const YAML::Node &)> &read, Need need)
{
    const YAML::Node value = find(key, need);
    if (value.IsDefined()) {
        read(value);
    }
}

std::string YamlMap::similarKey(const std::string &key) const
{
    // Returns the first known key that differs by at most two letters. Comparing sorted letters
    // also finds transposed ones.
    const auto letters = [](std::string word) {
        std::sort(word.begin(), word.end());
        return word;
    };
    constexpr std::size_t DistanceMax = 2;
    const std::string keyLetters = letters(key);
    for (const std::string &known : m_knownKeys) {
        const std::string knownLetters = letters(known);
        std::string difference;
        std::set_symmetric_difference(keyLetters.begin(), keyLetters.end(), knownLetters.begin(),
                                      knownLetters.end(), std::back_inserter(difference));
        if (difference.size() <= DistanceMax) {
            return known;
        }
    }
    return {};
}

void YamlMap::finish()
{
    if (!m_node.IsMap()) {
        return;
    }
    std::set<std::string> seen;
    for (const auto &entry : m_node) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "(not a string)";
        if (!seen.insert(key).second) {
            m_sink.add(FindingCode::DuplicateId, entry.first.Mark(),
                       m_subject + ": duplicate key '" + key + "'");
        }
        if (m_knownKeys.contains(key)) {
            continue;
        }
        const std::string suggestion = similarKey(key);
        m_sink.add(FindingCode::UnknownKey, entry.first.Mark(),
                   m_subject + " has no key '" + key + "'"
                       + (suggestion.empty() ? "" : "; did you mean '" + suggestion + "'?"));
    }
}

} // namespace bergamotglade
