#pragma once

#include <compare>
#include <concepts>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace shallotlever {

/// A string identifier with a distinct type for each tag; ids of different tags do not convert to
/// each other.
template <typename Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string &value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend auto operator<=>(const Id &, const Id &) = default;
    template <typename H>
    friend H AbslHashValue(H h, const Id &id)
    {
        return H::combine(std::move(h), id.m_value);
    }
    friend std::ostream &operator<<(std::ostream &out, const Id &id) { return out << id.m_value; }

private:
    std::string m_value;
};

/// An unsigned 64-bit number (term, position, version, count) with a distinct type for each tag;
/// numbers of different tags do not convert to each other or compare.
template <typename Tag>
class Number
{
public:
    constexpr Number() = default;
    constexpr explicit Number(std::uint64_t value)
        : m_value(value)
    {
    }

    constexpr std::uint64_t value() const { return m_value; }
    constexpr Number next() const { return Number(m_value + 1); }

    friend constexpr auto operator<=>(const Number &, const Number &) = default;
    template <typename H>
    friend H AbslHashValue(H h, const Number &n)
    {
        return H::combine(std::move(h), n.m_value);
    }
    friend std::ostream &operator<<(std::ostream &out, const Number &n) { return out << n.m_value; }

private:
    std::uint64_t m_value = 0;
};

} // namespace shallotlever

template <typename Tag>
struct std::hash<shallotlever::Id<Tag>>
{
    std::size_t operator()(const shallotlever::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string> {}(id.value());
    }
};

template <typename Tag>
struct std::hash<shallotlever::Number<Tag>>
{
    std::size_t operator()(const shallotlever::Number<Tag> &n) const noexcept
    {
        return std::hash<std::uint64_t> {}(n.value());
    }
};
