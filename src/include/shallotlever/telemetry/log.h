#pragma once

#include <atomic>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "shallotlever/base/ids.h"

namespace shallotlever {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

std::string_view logLevelName(LogLevel level);
std::optional<LogLevel> logLevelFromName(std::string_view name);

/// Value of a log field. Text is not copied: it must outlive the call that logs it.
class LogValue
{
public:
    using Variant = std::variant<bool, std::int64_t, std::uint64_t, double, std::string_view>;

    template <std::same_as<bool> T>
    LogValue(T value)
        : m_value(value)
    {
    }
    template <std::signed_integral T>
    LogValue(T value)
        : m_value(static_cast<std::int64_t>(value))
    {
    }
    template <std::unsigned_integral T>
    requires(!std::same_as<T, bool>) LogValue(T value)
        : m_value(static_cast<std::uint64_t>(value))
    {
    }
    LogValue(double value)
        : m_value(value)
    {
    }
    LogValue(std::string_view value)
        : m_value(value)
    {
    }
    LogValue(const std::string &value)
        : m_value(std::string_view(value))
    {
    }
    LogValue(const char *value)
        : m_value(std::string_view(value))
    {
    }
    template <typename Tag>
    LogValue(const Id<Tag> &id)
        : m_value(std::string_view(id.value()))
    {
    }
    template <typename Tag>
    LogValue(const Number<Tag> &number)
        : m_value(number.value())
    {
    }

    const Variant &variant() const { return m_value; }

private:
    Variant m_value;
};

struct LogField
{
    /// In snake_case; ts, level, event and node are reserved.
    std::string_view key;
    LogValue value;
};

/// Writes one JSON object per line, each with a single write call, so that lines of different
/// threads do not interleave. Logging never blocks: a line is dropped and counted if the output,
/// such as a full pipe, is not writable. Thread-safe.
class Logger
{
public:
    /// Writes to `fileDescriptor`, which the caller keeps open; standard error by default.
    explicit Logger(NodeId node, LogLevel level = LogLevel::Info, int fileDescriptor = 2);

    /// Lines below the level are dropped.
    bool enabled(LogLevel level) const { return level >= m_level; }
    /// Fields must never contain keys, session tokens or SQL parameters.
    void log(LogLevel level, std::string_view event,
             std::initializer_list<LogField> fields = {}) const;

    void debug(std::string_view event, std::initializer_list<LogField> fields = {}) const
    {
        log(LogLevel::Debug, event, fields);
    }
    void info(std::string_view event, std::initializer_list<LogField> fields = {}) const
    {
        log(LogLevel::Info, event, fields);
    }
    void warning(std::string_view event, std::initializer_list<LogField> fields = {}) const
    {
        log(LogLevel::Warning, event, fields);
    }
    void error(std::string_view event, std::initializer_list<LogField> fields = {}) const
    {
        log(LogLevel::Error, event, fields);
    }

    /// Number of lines dropped because the output was not writable.
    std::uint64_t dropped() const { return m_dropped.load(std::memory_order_relaxed); }

private:
    NodeId m_node;
    LogLevel m_level;
    int m_fileDescriptor;
    mutable std::atomic<std::uint64_t> m_dropped { 0 };
};

} // namespace shallotlever
