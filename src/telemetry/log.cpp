#include "shallotlever/telemetry/log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <iterator>
#include <type_traits>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "utf8.h"

namespace shallotlever {

namespace {

constexpr std::array<std::string_view, 4> kLevelNames { "debug", "info", "warning", "error" };

using Buffer = fmt::memory_buffer;

void append(Buffer &out, std::string_view text)
{
    out.append(text.data(), text.data() + text.size());
}

void appendEscapedAscii(Buffer &out, char c)
{
    switch (c) {
    case '"':
        return append(out, "\\\"");
    case '\\':
        return append(out, "\\\\");
    case '\n':
        return append(out, "\\n");
    case '\r':
        return append(out, "\\r");
    case '\t':
        return append(out, "\\t");
    default:
        break;
    }
    const auto code = static_cast<unsigned char>(c);
    if (code < 0x20U || code == 0x7FU)
        fmt::format_to(std::back_inserter(out), "\\u{:04x}", code);
    else
        out.push_back(c);
}

/// Invalid UTF-8 is replaced by U+FFFD, so that every line is valid JSON.
void appendJsonString(Buffer &out, std::string_view text)
{
    out.push_back('"');
    while (!text.empty()) {
        const std::size_t length = utf8SequenceLength(text);
        if (length == 0)
            append(out, "\\ufffd");
        else if (length == 1)
            appendEscapedAscii(out, text.front());
        else
            append(out, text.substr(0, length));
        text.remove_prefix(std::max<std::size_t>(length, 1));
    }
    out.push_back('"');
}

void appendValue(Buffer &out, const LogValue &value)
{
    std::visit(
        [&out](const auto &v) {
            using T = std::decay_t<decltype(v)>;
            if constexpr (std::is_same_v<T, std::string_view>)
                appendJsonString(out, v);
            else if constexpr (std::is_same_v<T, double>)
                // JSON has no infinity and no NaN.
                std::isfinite(v) ? void(fmt::format_to(std::back_inserter(out), "{}", v))
                                 : append(out, "null");
            else
                fmt::format_to(std::back_inserter(out), "{}", v);
        },
        value.variant());
}

void appendField(Buffer &out, std::string_view key, const LogValue &value)
{
    out.push_back(',');
    appendJsonString(out, key);
    out.push_back(':');
    appendValue(out, value);
}

void appendTimestamp(Buffer &out)
{
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(now);
    fmt::format_to(std::back_inserter(out), "{{\"ts\":\"{:%Y-%m-%dT%H:%M:%S}.{:03}Z\"",
                   fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
                   (now - seconds).count());
}

} // namespace

std::string_view logLevelName(LogLevel level)
{
    return kLevelNames[static_cast<std::size_t>(level)];
}

std::optional<LogLevel> logLevelFromName(std::string_view name)
{
    const auto found = std::find(kLevelNames.begin(), kLevelNames.end(), name);
    if (found == kLevelNames.end())
        return std::nullopt;
    return static_cast<LogLevel>(found - kLevelNames.begin());
}

Logger::Logger(NodeId node, LogLevel level, int fileDescriptor)
    : m_node(std::move(node))
    , m_level(level)
    , m_fileDescriptor(fileDescriptor)
{
}

void Logger::log(LogLevel level, std::string_view event,
                 std::initializer_list<LogField> fields) const
{
    if (!enabled(level))
        return;
    Buffer line;
    appendTimestamp(line);
    appendField(line, "level", logLevelName(level));
    appendField(line, "event", event);
    appendField(line, "node", m_node);
    for (const LogField &field : fields)
        appendField(line, field.key, field.value);
    append(line, "}\n");
    pollfd output { m_fileDescriptor, POLLOUT, 0 };
    if (::poll(&output, 1, 0) <= 0) {
        m_dropped.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    // Completing a partial write could interleave lines, so only an interrupted call is repeated.
    while (::write(m_fileDescriptor, line.data(), line.size()) < 0 && errno == EINTR) { }
}

} // namespace shallotlever
