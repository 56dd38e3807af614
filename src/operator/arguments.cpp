#include "shallotlever/operator/arguments.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <regex>
#include <set>

#include <QUtf8StringView>

#include <docopt/docopt.h>
#include <fmt/format.h>

namespace shallotlever {

namespace {

constexpr std::size_t kMaxIdBytes = 128;

template <typename T>
std::optional<T> parseWhole(const std::string &text)
{
    T value {};
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    return error == std::errc() && stop == end ? std::optional(value) : std::nullopt;
}

std::set<std::string> optionNames(const std::string &usage)
{
    static const std::regex pattern("--[a-z][a-z-]*");
    return { std::sregex_token_iterator(usage.begin(), usage.end(), pattern),
             std::sregex_token_iterator() };
}

/// An option that the usage text does not name in full; docopt would accept an abbreviation.
std::optional<std::string> unknownOption(const std::string &usage,
                                         const std::vector<std::string> &arguments)
{
    const std::set<std::string> known = optionNames(usage);
    bool isValue = false;
    for (const std::string &argument : arguments) {
        if (argument == "--" && !isValue)
            break;
        const std::string name = argument.substr(0, argument.find('='));
        const bool isOption = !isValue && name.starts_with("--");
        if (isOption && !known.contains(name))
            return name;
        // The value of an option may itself start with dashes, as an SQL comment does.
        isValue = isOption && name == argument && usage.find(name + "=") != std::string::npos;
    }
    return std::nullopt;
}

ArgumentValues valuesOf(const std::map<std::string, docopt::value> &parsed)
{
    ArgumentValues values;
    for (const auto &[name, value] : parsed) {
        if (value.isString())
            values.texts[name] = value.asString();
        else if (value.isStringList())
            values.lists[name] = value.asStringList();
        else if (value.isBool())
            values.switches[name] = value.asBool();
    }
    return values;
}

} // namespace

std::variant<ArgumentValues, ArgumentText, ArgumentFault>
parseArguments(const std::string &usage, const std::vector<std::string> &arguments)
{
    // Requests are JSON, which would carry other bytes as replacement characters.
    const auto isUtf8 = [](const std::string &argument) {
        return QUtf8StringView(argument).isValidUtf8();
    };
    if (!std::all_of(arguments.begin(), arguments.end(), isUtf8))
        return ArgumentFault { "arguments must be UTF-8" };
    if (const auto unknown = unknownOption(usage, arguments))
        return ArgumentFault { *unknown + ": unknown option" };
    try {
        return valuesOf(docopt::docopt_parse(usage, arguments, true, true));
    } catch (const docopt::DocoptExitHelp &) {
        return ArgumentText { usage };
    } catch (const docopt::DocoptExitVersion &) {
        return ArgumentText { "shallotlever " SHALLOTLEVER_VERSION "\n" };
    } catch (const docopt::DocoptArgumentError &error) {
        return ArgumentFault { error.what() };
    }
}

ArgumentReader::ArgumentReader(ArgumentValues values, EnvironmentReader environment)
    : m_values(std::move(values))
    , m_environment(std::move(environment))
{
}

bool ArgumentReader::isSet(const std::string &name) const
{
    const auto found = m_values.switches.find(name);
    return found != m_values.switches.end() ? found->second : m_values.texts.contains(name);
}

std::optional<std::string> ArgumentReader::text(const std::string &name) const
{
    const auto found = m_values.texts.find(name);
    return found == m_values.texts.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::string> ArgumentReader::textOrVariable(const std::string &name,
                                                          const std::string &variable) const
{
    if (const auto given = text(name))
        return given;
    const auto value = m_environment(variable);
    return value && !value->empty() ? value : std::nullopt;
}

std::vector<std::string> ArgumentReader::list(const std::string &name) const
{
    const auto found = m_values.lists.find(name);
    return found == m_values.lists.end() ? std::vector<std::string>() : found->second;
}

std::string ArgumentReader::id(const std::string &name)
{
    return checkedId(name, text(name).value_or(""));
}

std::string ArgumentReader::checkedId(const std::string &name, const std::string &value)
{
    const bool printable = std::all_of(value.begin(), value.end(),
                                       [](unsigned char c) { return c > 0x20 && c != 0x7f; });
    if (value.empty() || value.size() > kMaxIdBytes || !printable)
        fail(name, fmt::format("must have 1 to {} bytes without spaces", kMaxIdBytes));
    return value;
}

std::uint64_t ArgumentReader::number(const std::string &name, std::uint64_t low, std::uint64_t high,
                                     std::uint64_t preset)
{
    const auto given = text(name);
    if (!given)
        return preset;
    const auto value = parseWhole<std::uint64_t>(*given);
    if (value && *value >= low && *value <= high)
        return *value;
    fail(name, fmt::format("must be a whole number from {} to {}", low, high));
    return preset;
}

double ArgumentReader::real(const std::string &name, double low, double high, double preset)
{
    const auto given = text(name);
    if (!given)
        return preset;
    const auto value = parseWhole<double>(*given);
    if (value && std::isfinite(*value) && *value >= low && *value <= high)
        return *value;
    fail(name, fmt::format("must be a number from {} to {}", low, high));
    return preset;
}

bool ArgumentReader::yesOrNo(const std::string &name, bool preset)
{
    const auto given = text(name);
    if (given && *given != "yes" && *given != "no")
        fail(name, "must be yes or no");
    return given ? *given == "yes" : preset;
}

void ArgumentReader::fail(const std::string &name, const std::string &problem)
{
    m_faults.push_back(name + ": " + problem);
}

} // namespace shallotlever
