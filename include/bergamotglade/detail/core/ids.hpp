/// @file
/// Strong types for identifiers and counts.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace bergamotglade {

/// A string identifier whose type differs for each kind of identifier.
template <typename Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string text)
        : m_text(std::move(text))
    { }

    [[nodiscard]] const std::string &str() const noexcept { return m_text; }
    [[nodiscard]] bool empty() const noexcept { return m_text.empty(); }

    friend auto operator<=>(const Id &, const Id &) = default;
    friend std::ostream &operator<<(std::ostream &out, const Id &id) { return out << id.m_text; }

private:
    std::string m_text;
};

/// An integer whose type differs for each kind of number.
template <typename Tag, typename Rep = std::uint64_t>
class Number
{
public:
    constexpr Number() = default;
    constexpr explicit Number(Rep value)
        : m_value(value)
    { }

    [[nodiscard]] constexpr Rep value() const noexcept { return m_value; }

    friend constexpr auto operator<=>(const Number &, const Number &) = default;
    friend std::ostream &operator<<(std::ostream &out, const Number &n) { return out << n.m_value; }

private:
    Rep m_value {};
};

using ServiceName = Id<struct ServiceNameTag>;
using UpstreamId = Id<struct UpstreamIdTag>;
using FailureDomainId = Id<struct FailureDomainIdTag>;
using VmId = Id<struct VmIdTag>;
using SectionName = Id<struct SectionNameTag>;
using CallerId = Id<struct CallerIdTag>;

/// Revision of the platform's store: a single increasing sequence over all sections within one era.
/// The store begins a new era when it is restored from a copy: numbers are then issued again, and
/// any revision of a higher era is newer. The era is 0 if the store reports none.
class Revision
{
public:
    constexpr Revision() = default;
    constexpr explicit Revision(std::uint64_t number, std::uint64_t era = 0)
        : m_era(era)
        , m_number(number)
    { }

    [[nodiscard]] constexpr std::uint64_t era() const noexcept { return m_era; }
    /// @brief The number within the era.
    [[nodiscard]] constexpr std::uint64_t value() const noexcept { return m_number; }

    friend constexpr auto operator<=>(const Revision &, const Revision &) = default;
    friend std::ostream &operator<<(std::ostream &out, const Revision &revision)
    {
        return out << revision.m_era << ':' << revision.m_number;
    }

private:
    // Compared in the order of declaration.
    std::uint64_t m_era = 0;
    std::uint64_t m_number = 0;
};

/// Identifies one run of a process; chosen at random at its start.
using Incarnation = Number<struct IncarnationTag>;
/// Random number that identifies a flow at its owner.
using FlowNonce = Number<struct FlowNonceTag>;
/// Position of a request in its caller's sequence, from 1.
using RequestSequence = Number<struct RequestSequenceTag>;
/// Relative share of an upstream in its service's requests; 100 is the default.
using Weight = Number<struct WeightTag, std::uint32_t>;
/// Index of a hash bucket of flows.
using Bucket = Number<struct BucketTag, std::uint32_t>;

} // namespace bergamotglade

template <typename Tag>
struct std::hash<bergamotglade::Id<Tag>>
{
    std::size_t operator()(const bergamotglade::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.str());
    }
};

template <typename Tag, typename Rep>
struct std::hash<bergamotglade::Number<Tag, Rep>>
{
    std::size_t operator()(const bergamotglade::Number<Tag, Rep> &n) const noexcept
    {
        return std::hash<Rep>()(n.value());
    }
};
