#include "flags.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <set>
#include <string_view>

#include <docopt/docopt.h>
#include <fmt/format.h>

namespace shallotlever {

namespace {

struct FlagSpec
{
    std::string_view name;
    /// Placeholder of the value; empty for a switch.
    std::string_view argument;
    std::string_view help;
    bool hasVariable = true;

    bool isSwitch() const { return argument.empty(); }
};

constexpr std::array kFlags {
    FlagSpec { "--node-id", "ID", "Name of this node." },
    FlagSpec { "--data-centre", "NAME", "Data centre of this node." },
    FlagSpec { "--region", "NAME", "Region of this node." },
    FlagSpec { "--listen", "IP:PORT", "HTTP listener for callers and operators." },
    FlagSpec { "--peer-listen", "IP:PORT", "Listener for other nodes." },
    FlagSpec { "--control-members", "ID=IP:PORT,...", "Control group as first known." },
    FlagSpec { "--control-seeds", "IP:PORT,...",
               "Some control members by address, in place of --control-members; ids of nodes are "
               "IP numbers, and all listen for peers on the same port." },
    FlagSpec {
        "--tolerated-losses", "N",
        "Control members that may be lost at once, 0 to 3 (1); with seeds, others join until "
        "the group bears it." },
    FlagSpec { "--may-found", "", "This control member may found the group (with seeds)." },
    FlagSpec { "--session-listen", "IP:PORT", "Listener for sessions of the platform's protocol." },
    FlagSpec { "--readiness-listen", "IP:PORT", "Listener for the platform's readiness checks." },
    FlagSpec { "--platform-listen", "IP:PORT", "Listener for configurations and announcements." },
    FlagSpec { "--promotion-address", "IP:PORT", "Where the platform promotes databases." },
    FlagSpec { "--control", "", "This node is a control member; needs --data-dir." },
    FlagSpec { "--control-only", "",
               "This node serves operators and databases, but no callers; needs --control." },
    FlagSpec { "--data-dir", "DIR", "Directory of the durable state." },
    FlagSpec { "--relay", "", "Relay control traffic of the data centre." },
    FlagSpec { "--relays", "ID=IP:PORT,...", "Relays of the data centre to report to." },
    FlagSpec { "--edge-threads", "N", "HTTP threads, 1 to 64 (2 if not given)." },
    FlagSpec { "--executor-threads", "N", "Executor threads, 1 to 64 (2 if not given)." },
    FlagSpec { "--operator-key-file", "FILE", "Bootstrap operator key." },
    FlagSpec { "--session-secret-file", "FILE", "At least 32 bytes, the same on all nodes." },
    FlagSpec { "--http-tls-cert", "FILE", "Certificate chain for callers, PEM." },
    FlagSpec { "--http-tls-key", "FILE", "Key of --http-tls-cert, PEM." },
    FlagSpec { "--peer-tls-cert", "FILE", "Certificate for peer links, PEM." },
    FlagSpec { "--peer-tls-key", "FILE", "Key of --peer-tls-cert, PEM." },
    FlagSpec { "--peer-tls-ca", "FILE", "Authority that signs peer certificates, PEM." },
    FlagSpec { "--allow-insecure-peers", "", "Permit peer links without TLS." },
    FlagSpec { "--max-header-bytes", "N", "1024 to 1048576 (16384 if not given)." },
    FlagSpec { "--max-body-bytes", "N", "1024 to 67108864 (1048576 if not given)." },
    FlagSpec { "--request-timeout-ms", "MS", "Time to send a request, 100 to 600000 (10000)." },
    FlagSpec { "--max-connections", "N", "1 to 100000 (8192 if not given)." },
    FlagSpec { "--drain-notice-ms", "MS", "Unready time before close, 0 to 600000 (2000)." },
    FlagSpec { "--drain-limit-ms", "MS", "Bound for open requests, 0 to 3600000 (30000)." },
    FlagSpec { "--log-level", "LEVEL", "debug, info, warning or error (info)." },
    FlagSpec { "--log-output", "NAME", "stdout or stderr (stdout)." },
    FlagSpec { "--check-settings", "", "Validate the settings and exit." },
    FlagSpec { "--help", "", "Show this text.", false },
    FlagSpec { "--version", "", "Show the version.", false },
};

const FlagSpec *findFlag(std::string_view name)
{
    const auto found = std::find_if(kFlags.begin(), kFlags.end(),
                                    [name](const FlagSpec &flag) { return flag.name == name; });
    return found == kFlags.end() ? nullptr : &*found;
}

std::string usageText()
{
    std::string text = "Runs one shallotlever node.\n\nUsage:\n  shallotleverd [options]\n\n"
                       "Options:\n";
    for (const FlagSpec &flag : kFlags) {
        const std::string left = flag.isSwitch() ? std::string(flag.name)
                                                 : fmt::format("{} {}", flag.name, flag.argument);
        text += fmt::format("  {:<34}  {}\n", left, flag.help);
    }
    text +=
        "\nEach option can also be given as an environment variable, for instance --node-id as\n"
        "SHALLOTLEVER_NODE_ID; a switch takes true or false there. An option on the command\n"
        "line takes precedence. An empty variable counts as not set.\n";
    return text;
}

std::string variableName(std::string_view flag)
{
    std::string name = "SHALLOTLEVER_";
    for (const char c : flag.substr(2))
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return name;
}

/// Removes what docopt would refuse, because docopt stops at its first complaint and all faults
/// are to be reported at once.
class ArgumentFilter
{
public:
    explicit ArgumentFilter(const std::vector<std::string> &arguments)
    {
        for (std::size_t i = 0; i < arguments.size(); ++i) {
            const std::string &argument = arguments[i];
            if (argument.starts_with("--"))
                i += takeFlag(argument, i + 1 < arguments.size() ? &arguments[i + 1] : nullptr);
            else if (!m_afterUnknown)
                fault(argument, "is not a flag; there are no positional arguments");
            else
                m_afterUnknown = false;
        }
    }

    std::vector<std::string> accepted;
    std::vector<SettingsFault> faults;

private:
    /// Returns how many of the following arguments belong to the flag.
    std::size_t takeFlag(const std::string &argument, const std::string *next)
    {
        const std::size_t equals = argument.find('=');
        const std::string name = argument.substr(0, equals);
        const FlagSpec *flag = findFlag(name);
        m_afterUnknown = flag == nullptr && equals == std::string::npos;
        if (flag == nullptr)
            return fault(name, "unknown flag");
        const bool takesNext = !flag->isSwitch() && equals == std::string::npos;
        if (flag->isSwitch() && equals != std::string::npos)
            return fault(name, "takes no value on the command line");
        if (takesNext && next == nullptr)
            return fault(name, "needs a value");
        if (!m_seen.insert(name).second) {
            fault(name, "given more than once");
            return takesNext ? 1 : 0;
        }
        accepted.push_back(argument);
        if (takesNext)
            accepted.push_back(*next);
        return takesNext ? 1 : 0;
    }

    std::size_t fault(const std::string &flag, std::string message)
    {
        faults.push_back({ flag, std::move(message) });
        return 0;
    }

    std::set<std::string> m_seen;
    /// The last flag was unknown, so a following word is taken for its value.
    bool m_afterUnknown = false;
};

void addFromEnvironment(FlagValues &result, const EnvironmentLookup &environment)
{
    for (const FlagSpec &flag : kFlags) {
        const std::string name(flag.name);
        if (!flag.hasVariable || result.values.contains(name))
            continue;
        const std::optional<std::string> value = environment(variableName(flag.name));
        if (!value || value->empty())
            continue;
        if (!flag.isSwitch() || *value == "true")
            result.values[name] = *value;
        else if (*value != "false")
            result.faults.push_back(
                { name, fmt::format("{} must be true or false", variableName(flag.name)) });
    }
}

} // namespace

std::variant<FlagValues, SettingsText> readFlags(const std::vector<std::string> &arguments,
                                                 const EnvironmentLookup &environment)
{
    ArgumentFilter filter(arguments);
    FlagValues result { {}, std::move(filter.faults) };
    try {
        for (const auto &[name, value] : docopt::docopt_parse(usageText(), filter.accepted)) {
            if (value.isString())
                result.values[name] = value.asString();
            else if (value.isBool() && value.asBool())
                result.values[name] = "true";
        }
    } catch (const docopt::DocoptExitHelp &) {
        return SettingsText { usageText() };
    } catch (const docopt::DocoptExitVersion &) {
        return SettingsText { "shallotleverd " SHALLOTLEVER_VERSION "\n" };
    } catch (const docopt::DocoptArgumentError &error) {
        result.faults.push_back({ "arguments", error.what() });
    }
    addFromEnvironment(result, environment);
    return result;
}

} // namespace shallotlever
