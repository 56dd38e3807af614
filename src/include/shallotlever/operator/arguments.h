#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Arguments of the program `shallotlever`, read strictly. Not thread-safe.
namespace shallotlever {

/// Values by the name that the usage text gives them: `--rate`, `SERVICE`, `put`.
struct ArgumentValues
{
    std::map<std::string, std::string> texts;
    std::map<std::string, std::vector<std::string>> lists;
    std::map<std::string, bool> switches;
};

/// Text asked for with --help or --version.
struct ArgumentText
{
    std::string text;
};

struct ArgumentFault
{
    std::string message;
};

/// Matches the arguments (without the program name) against the usage text. Abbreviated options
/// are refused, because a later option could make them ambiguous.
std::variant<ArgumentValues, ArgumentText, ArgumentFault>
parseArguments(const std::string &usage, const std::vector<std::string> &arguments);

using EnvironmentReader = std::function<std::optional<std::string>(const std::string &)>;

/// Reads typed values and keeps every fault. A read that fails returns some valid value.
class ArgumentReader
{
public:
    ArgumentReader(ArgumentValues values, EnvironmentReader environment);

    bool isSet(const std::string &name) const;
    std::optional<std::string> text(const std::string &name) const;
    /// The option, or the variable if the option is not given.
    std::optional<std::string> textOrVariable(const std::string &name,
                                              const std::string &variable) const;
    std::vector<std::string> list(const std::string &name) const;
    /// 1 to 128 bytes without spaces and control characters.
    std::string id(const std::string &name);
    std::string checkedId(const std::string &name, const std::string &value);
    std::uint64_t number(const std::string &name, std::uint64_t low, std::uint64_t high,
                         std::uint64_t preset);
    double real(const std::string &name, double low, double high, double preset);
    /// `yes` or `no`.
    bool yesOrNo(const std::string &name, bool preset);
    void fail(const std::string &name, const std::string &problem);
    const std::vector<std::string> &faults() const { return m_faults; }

private:
    ArgumentValues m_values;
    EnvironmentReader m_environment;
    std::vector<std::string> m_faults;
};

} // namespace shallotlever
