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
    /// Placeholder of the value in the help text; empty for a switch.
    std::string_view argument;
    std::string_view help;
    bool hasEnvironmentVariable = true;

    bool isSwitch() const { return argument.empty(); }
};

constexpr std::array kFlags {
    FlagSpec { "--node-id", "ID", "Name of this node." },
    FlagSpec { "--data-centre", "NAME", "Data centre of this node." },
    FlagSpec { "--region", "NAME", "Region of this node." },
    FlagSpec { "--listen", "IP:PORT", "HTTP listener for callers and operators." },
    FlagSpec { "--peer-listen", "IP:PORT", "Listener for other nodes." },
    FlagSpec { "--control-members", "ID=IP:PORT,...", "Initial control members." },
    FlagSpec { "--control-seeds", "IP:PORT,...",
               "Addresses of some control members, instead of --control-members; node ids must be "
               "IP addresses, and all nodes must use the same peer port." },
    FlagSpec { "--tolerated-losses", "N",
               "Control members that may fail at the same time, 0 to 3 (default 1); with "
               "--control-seeds, nodes join the group until it tolerates this many failures." },
    FlagSpec { "--may-found", "",
               "Allow this node to bootstrap the control group (with --control-seeds)." },
    FlagSpec { "--session-listen", "IP:PORT", "Listener for sessions of the platform's protocol." },
    FlagSpec { "--readiness-listen", "IP:PORT", "Listener for the platform's readiness checks." },
    FlagSpec { "--platform-listen", "IP:PORT",
               "Listener for the platform's configurations and announcements." },
    FlagSpec { "--promotion-address", "IP:PORT",
               "Address of the platform service that promotes databases." },
    FlagSpec { "--control", "", "This node is a control member; needs --data-dir." },
    FlagSpec { "--control-only", "",
               "This node serves operators and databases, but no callers; needs --control." },
    FlagSpec { "--data-dir", "DIR", "Directory for durable state." },
    FlagSpec { "--relay", "", "Relay the control traffic of the data centre." },
    FlagSpec {
        "--data-centres", "NAME,...",
        "All data centres of the deployment; a platform's orders about others are refused." },
    FlagSpec { "--relays", "ID=IP:PORT,...", "Relays of the data centre to report to." },
    FlagSpec { "--edge-threads", "N", "HTTP threads, 1 to 64 (default 2)." },
    FlagSpec { "--executor-threads", "N", "Executor threads, 1 to 64 (default 2)." },
    FlagSpec { "--operator-key-file", "FILE", "File with the bootstrap operator key." },
    FlagSpec { "--session-secret-file", "FILE",
               "Session token secret, at least 32 bytes, the same on all nodes." },
    FlagSpec { "--http-tls-cert", "FILE", "Certificate chain of the HTTP listener, PEM." },
    FlagSpec { "--http-tls-key", "FILE", "Key of --http-tls-cert, PEM." },
    FlagSpec { "--peer-tls-cert", "FILE", "Certificate for peer links, PEM." },
    FlagSpec { "--peer-tls-key", "FILE", "Key of --peer-tls-cert, PEM." },
    FlagSpec { "--peer-tls-ca", "FILE", "CA certificate that verifies peer certificates, PEM." },
    FlagSpec { "--allow-insecure-peers", "", "Permit peer links without TLS." },
    FlagSpec { "--max-header-bytes", "N",
               "Maximum request header size, 1024 to 1048576 (default 16384)." },
    FlagSpec { "--max-body-bytes", "N",
               "Maximum request body size, 1024 to 67108864 (default 1048576)." },
    FlagSpec { "--request-timeout-ms", "MS",
               "Time limit for receiving a request, 100 to 600000 (default 10000)." },
    FlagSpec { "--max-connections", "N",
               "Maximum number of connections, 1 to 100000 (default 8192)." },
    FlagSpec { "--memory-mb", "MIB",
               "Memory that this process may use, 32 to 1048576; without it, only the limits of "
               "single connections apply." },
    FlagSpec { "--max-descriptors", "N",
               "Descriptors that this process may open, 64 to 1048576 (default: the limit of the "
               "operating system)." },
    FlagSpec { "--drain-notice-ms", "MS",
               "Time as not ready before the listener closes, 0 to 600000 (default 2000)." },
    FlagSpec { "--drain-limit-ms", "MS",
               "Time limit for open requests on shutdown, 0 to 3600000 (default 30000)." },
    FlagSpec { "--log-level", "LEVEL", "debug, info, warning or error (default info)." },
    FlagSpec { "--log-output", "NAME", "stdout or stderr (default stdout)." },
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
        "line takes precedence. An empty variable is treated as unset.\n";
    return text;
}

std::string environmentVariableName(std::string_view flag)
{
    std::string name = "SHALLOTLEVER_";
    for (const char c : flag.substr(2))
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return name;
}

/// Removes the arguments that docopt would reject and records an error for each. docopt itself
/// stops at the first error, but all errors are reported at once.
class ArgumentFilter
{
public:
    explicit ArgumentFilter(const std::vector<std::string> &arguments)
    {
        for (std::size_t i = 0; i < arguments.size(); ++i) {
            const std::string &argument = arguments[i];
            if (argument.starts_with("--"))
                i += parseFlag(argument, i + 1 < arguments.size() ? &arguments[i + 1] : nullptr);
            else if (!m_previousFlagUnknown)
                addError(argument, "unexpected positional argument");
            else
                m_previousFlagUnknown = false;
        }
    }

    std::vector<std::string> accepted;
    std::vector<SettingsError> errors;

private:
    /// Returns the number of following arguments that belong to the flag.
    std::size_t parseFlag(const std::string &argument, const std::string *next)
    {
        const std::size_t equals = argument.find('=');
        const std::string name = argument.substr(0, equals);
        const FlagSpec *flag = findFlag(name);
        m_previousFlagUnknown = flag == nullptr && equals == std::string::npos;
        if (flag == nullptr)
            return addError(name, "unknown flag");
        const bool consumesNext = !flag->isSwitch() && equals == std::string::npos;
        if (flag->isSwitch() && equals != std::string::npos)
            return addError(name, "takes no value on the command line");
        if (consumesNext && next == nullptr)
            return addError(name, "requires a value");
        if (!m_seenFlags.insert(name).second) {
            addError(name, "given more than once");
            return consumesNext ? 1 : 0;
        }
        accepted.push_back(argument);
        if (consumesNext)
            accepted.push_back(*next);
        return consumesNext ? 1 : 0;
    }

    std::size_t addError(const std::string &flag, std::string message)
    {
        errors.push_back({ flag, std::move(message) });
        return 0;
    }

    std::set<std::string> m_seenFlags;
    /// The previous flag was unknown, so a following non-flag argument is taken as its value.
    bool m_previousFlagUnknown = false;
};

void addFromEnvironment(FlagValues &result, const EnvironmentLookup &environment)
{
    for (const FlagSpec &flag : kFlags) {
        const std::string name(flag.name);
        if (!flag.hasEnvironmentVariable || result.values.contains(name))
            continue;
        const std::optional<std::string> value = environment(environmentVariableName(flag.name));
        if (!value || value->empty())
            continue;
        if (!flag.isSwitch() || *value == "true")
            result.values[name] = *value;
        else if (*value != "false")
            result.errors.push_back(
                { name,
                  fmt::format("{} must be true or false", environmentVariableName(flag.name)) });
    }
}

} // namespace

std::variant<FlagValues, HelpOrVersionText> readFlags(const std::vector<std::string> &arguments,
                                                      const EnvironmentLookup &environment)
{
    ArgumentFilter filter(arguments);
    FlagValues result { {}, std::move(filter.errors) };
    try {
        for (const auto &[name, value] : docopt::docopt_parse(usageText(), filter.accepted)) {
            if (value.isString())
                result.values[name] = value.asString();
            else if (value.isBool() && value.asBool())
                result.values[name] = "true";
        }
    } catch (const docopt::DocoptExitHelp &) {
        return HelpOrVersionText { usageText() };
    } catch (const docopt::DocoptExitVersion &) {
        return HelpOrVersionText { "shallotleverd " SHALLOTLEVER_VERSION "\n" };
    } catch (const docopt::DocoptArgumentError &error) {
        result.errors.push_back({ "arguments", error.what() });
    }
    addFromEnvironment(result, environment);
    return result;
}

} // namespace shallotlever
