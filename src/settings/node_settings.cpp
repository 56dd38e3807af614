#include "shallotlever/settings/node_settings.h"

#include <arpa/inet.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

#include <fmt/format.h>

#include "flags.h"

namespace shallotlever {

namespace {

namespace fs = std::filesystem;

constexpr std::size_t kMaxNameLength = 64;
constexpr std::uintmax_t kMinSessionSecretBytes = 32;
constexpr std::int64_t kMaxThreads = 64;
constexpr std::int64_t kMaxToleratedLosses = 3;
constexpr std::int64_t kMinByteLimit = 1024;
constexpr std::int64_t kMaxHeaderBytes = 1024 * 1024;
constexpr std::int64_t kMaxBodyBytes = 64 * 1024 * 1024;
constexpr std::int64_t kMaxConnections = 100000;
constexpr std::int64_t kMinDescriptors = 64;
constexpr std::int64_t kMaxDescriptors = 1048576;
constexpr std::int64_t kMinMemoryMb = 32;
constexpr std::int64_t kMaxMemoryMb = 1048576;
constexpr std::int64_t kMinRequestTimeoutMs = 100;
constexpr std::int64_t kMaxRequestTimeoutMs = 600000;
constexpr std::int64_t kMaxDrainNoticeMs = 600000;
constexpr std::int64_t kMaxDrainLimitMs = 3600000;

template <typename T>
std::optional<T> parseNumber(std::string_view text)
{
    T value {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

bool isIpAddress(int family, const std::string &text)
{
    std::array<unsigned char, sizeof(in6_addr)> parsed {};
    return ::inet_pton(family, text.c_str(), parsed.data()) == 1;
}

bool isValidName(const std::string &text)
{
    constexpr std::string_view kAllowed =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";
    return !text.empty() && text.size() <= kMaxNameLength
        && text.find_first_not_of(kAllowed) == std::string::npos;
}

/// Converts and validates flag values and collects all errors.
class SettingsReader
{
public:
    explicit SettingsReader(FlagValues flags)
        : m_flags(std::move(flags))
    {
    }

    NodeSettings read();
    std::vector<SettingsError> takeErrors() { return std::move(m_flags.errors); }

private:
    void addError(const std::string &flag, std::string message)
    {
        m_flags.errors.push_back({ flag, std::move(message) });
    }
    bool isSet(const std::string &flag) const { return m_flags.values.contains(flag); }
    std::optional<std::string> optional(const std::string &flag) const;
    std::string required(const std::string &flag);
    std::string name(const std::string &flag);
    SocketAddress address(const std::string &flag);
    std::optional<SocketAddress> optionalAddress(const std::string &flag);
    std::vector<ControlPeer> seeds(std::uint16_t peerPort);
    std::set<DataCentreId> dataCentres();
    std::vector<ControlPeer> peers(const std::string &flag, const std::string &value);
    std::int64_t number(const std::string &flag, std::int64_t defaultValue, std::int64_t min,
                        std::int64_t max);
    std::chrono::milliseconds duration(const std::string &flag,
                                       std::chrono::milliseconds defaultValue, std::int64_t min,
                                       std::int64_t max);
    std::optional<fs::path> file(const std::string &flag);
    std::optional<fs::path> dataDir(bool control);
    fs::path sessionSecretFile();
    bool requireAllOrNone(const std::vector<std::string> &flags);
    std::optional<CertificateFiles> httpTls();
    std::optional<PeerCertificateFiles> peerTls();
    void readLimits(NodeSettings &settings);
    std::string logLevel();

    FlagValues m_flags;
};

std::optional<std::string> SettingsReader::optional(const std::string &flag) const
{
    const auto found = m_flags.values.find(flag);
    return found == m_flags.values.end() ? std::nullopt : std::optional(found->second);
}

std::string SettingsReader::required(const std::string &flag)
{
    const std::optional<std::string> value = optional(flag);
    if (!value)
        addError(flag, "is required");
    return value.value_or("");
}

std::string SettingsReader::name(const std::string &flag)
{
    const std::string value = required(flag);
    if (isSet(flag) && !isValidName(value))
        addError(flag,
                 fmt::format("must be 1 to {} letters, digits, dots, dashes or underscores",
                             kMaxNameLength));
    return value;
}

SocketAddress SettingsReader::address(const std::string &flag)
{
    const std::string value = required(flag);
    const std::optional<SocketAddress> parsed = parseSocketAddress(value);
    if (isSet(flag) && !parsed)
        addError(flag, fmt::format("'{}' is not IP:PORT with a numeric IP address", value));
    return parsed.value_or(SocketAddress {});
}

std::optional<SocketAddress> SettingsReader::optionalAddress(const std::string &flag)
{
    return isSet(flag) ? std::optional(address(flag)) : std::nullopt;
}

std::vector<ControlPeer> SettingsReader::seeds(std::uint16_t peerPort)
{
    const std::string flag = "--control-seeds";
    const std::string value = required(flag);
    std::vector<ControlPeer> members;
    for (std::size_t start = 0; isSet(flag) && start <= value.size();) {
        const std::size_t comma = std::min(value.find(',', start), value.size());
        const std::string entry = value.substr(start, comma - start);
        start = comma + 1;
        const auto parsed = parseSocketAddress(entry);
        if (!parsed)
            addError(flag, fmt::format("'{}' is not IP:PORT", entry));
        else
            members.push_back({ NodeId(parsed->ip), { parsed->ip, peerPort } });
    }
    return members;
}

std::set<DataCentreId> SettingsReader::dataCentres()
{
    const std::string flag = "--data-centres";
    const std::string value = optional(flag).value_or("");
    std::set<DataCentreId> names;
    for (std::size_t start = 0; !value.empty() && start <= value.size();) {
        const std::size_t comma = std::min(value.find(',', start), value.size());
        const std::string entry = value.substr(start, comma - start);
        start = comma + 1;
        if (entry.empty() || !names.insert(DataCentreId(entry)).second)
            addError(flag, fmt::format("'{}' is empty or repeated", entry));
    }
    return names;
}

std::vector<ControlPeer> SettingsReader::peers(const std::string &flag, const std::string &value)
{
    std::vector<ControlPeer> members;
    std::set<std::string> ids;
    std::set<std::pair<std::string, std::uint16_t>> addresses;
    for (std::size_t start = 0; isSet(flag) && start <= value.size();) {
        const std::size_t comma = std::min(value.find(',', start), value.size());
        const std::string entry = value.substr(start, comma - start);
        start = comma + 1;
        const std::size_t equals = std::min(entry.find('='), entry.size());
        const std::string id = entry.substr(0, equals);
        const auto parsed =
            parseSocketAddress(std::string_view(entry).substr(std::min(equals + 1, entry.size())));
        if (!isValidName(id) || !parsed || parsed->port == 0)
            addError(flag, fmt::format("'{}' is not ID=IP:PORT", entry));
        else if (!ids.insert(id).second || !addresses.insert({ parsed->ip, parsed->port }).second)
            addError(flag, fmt::format("'{}' repeats an id or an address", entry));
        else
            members.push_back({ NodeId(id), *parsed });
    }
    return members;
}

std::int64_t SettingsReader::number(const std::string &flag, std::int64_t defaultValue,
                                    std::int64_t min, std::int64_t max)
{
    const std::optional<std::string> text = optional(flag);
    if (!text)
        return defaultValue;
    const auto value = parseNumber<std::int64_t>(*text);
    if (value && *value >= min && *value <= max)
        return *value;
    addError(flag, fmt::format("'{}' is not an integer from {} to {}", *text, min, max));
    return defaultValue;
}

std::chrono::milliseconds SettingsReader::duration(const std::string &flag,
                                                   std::chrono::milliseconds defaultValue,
                                                   std::int64_t min, std::int64_t max)
{
    return std::chrono::milliseconds(number(flag, defaultValue.count(), min, max));
}

std::optional<fs::path> SettingsReader::file(const std::string &flag)
{
    const std::optional<std::string> path = optional(flag);
    if (!path)
        return std::nullopt;
    std::error_code error;
    if (!fs::is_regular_file(*path, error) || ::access(path->c_str(), R_OK) != 0)
        addError(flag, fmt::format("'{}' is not a readable file", *path));
    return fs::path(*path);
}

std::optional<fs::path> SettingsReader::dataDir(bool control)
{
    const std::string flag = "--data-dir";
    const std::optional<std::string> path = optional(flag);
    if (!path) {
        if (control)
            addError(flag, "is required with --control");
        return std::nullopt;
    }
    std::error_code error;
    if (!fs::is_directory(*path, error) || ::access(path->c_str(), R_OK | W_OK | X_OK) != 0)
        addError(flag, fmt::format("'{}' is not a writable directory", *path));
    return fs::path(*path);
}

fs::path SettingsReader::sessionSecretFile()
{
    const std::string flag = "--session-secret-file";
    required(flag);
    const std::size_t errorsBefore = m_flags.errors.size();
    const fs::path path = file(flag).value_or(fs::path());
    std::error_code error;
    if (isSet(flag) && m_flags.errors.size() == errorsBefore
        && fs::file_size(path, error) < kMinSessionSecretBytes)
        addError(flag,
                 fmt::format("'{}' contains fewer than {} bytes", path.string(),
                             kMinSessionSecretBytes));
    return path;
}

bool SettingsReader::requireAllOrNone(const std::vector<std::string> &flags)
{
    const auto setCount = std::count_if(flags.begin(), flags.end(),
                                        [this](const std::string &flag) { return isSet(flag); });
    for (const std::string &flag : flags) {
        if (setCount != 0 && !isSet(flag))
            addError(flag, "is required, because other flags of the same group are given");
    }
    return setCount == static_cast<std::ptrdiff_t>(flags.size());
}

std::optional<CertificateFiles> SettingsReader::httpTls()
{
    const bool complete = requireAllOrNone({ "--http-tls-cert", "--http-tls-key" });
    const auto certificate = file("--http-tls-cert");
    const auto key = file("--http-tls-key");
    return complete ? std::optional(CertificateFiles { *certificate, *key }) : std::nullopt;
}

std::optional<PeerCertificateFiles> SettingsReader::peerTls()
{
    const std::vector<std::string> flags { "--peer-tls-cert", "--peer-tls-key", "--peer-tls-ca" };
    const bool complete = requireAllOrNone(flags);
    const auto certificate = file(flags[0]);
    const auto key = file(flags[1]);
    const auto authority = file(flags[2]);
    if (!certificate && !key && !authority && !isSet("--allow-insecure-peers"))
        addError(
            "--allow-insecure-peers",
            "is required, because --peer-tls-cert, --peer-tls-key and --peer-tls-ca are not given");
    if (!complete)
        return std::nullopt;
    return PeerCertificateFiles { *certificate, *key, *authority };
}

void SettingsReader::readLimits(NodeSettings &settings)
{
    settings.edgeThreads =
        static_cast<int>(number("--edge-threads", settings.edgeThreads, 1, kMaxThreads));
    settings.executorThreads =
        static_cast<int>(number("--executor-threads", settings.executorThreads, 1, kMaxThreads));
    settings.maxHeaderBytes = static_cast<std::size_t>(
        number("--max-header-bytes", static_cast<std::int64_t>(settings.maxHeaderBytes),
               kMinByteLimit, kMaxHeaderBytes));
    settings.maxBodyBytes = static_cast<std::size_t>(
        number("--max-body-bytes", static_cast<std::int64_t>(settings.maxBodyBytes), kMinByteLimit,
               kMaxBodyBytes));
    settings.requestTimeout = duration("--request-timeout-ms", settings.requestTimeout,
                                       kMinRequestTimeoutMs, kMaxRequestTimeoutMs);
    settings.maxConnections =
        static_cast<int>(number("--max-connections", settings.maxConnections, 1, kMaxConnections));
    if (isSet("--memory-mb"))
        settings.memoryBytes = static_cast<std::size_t>(
                                   number("--memory-mb", kMinMemoryMb, kMinMemoryMb, kMaxMemoryMb))
            << 20U;
    if (isSet("--max-descriptors"))
        settings.maxDescriptors = static_cast<std::size_t>(
            number("--max-descriptors", kMinDescriptors, kMinDescriptors, kMaxDescriptors));
    settings.drainNotice =
        duration("--drain-notice-ms", settings.drainNotice, 0, kMaxDrainNoticeMs);
    settings.drainLimit = duration("--drain-limit-ms", settings.drainLimit, 0, kMaxDrainLimitMs);
}

std::string SettingsReader::logLevel()
{
    constexpr std::array<std::string_view, 4> kLevels { "debug", "info", "warning", "error" };
    const std::string level = optional("--log-level").value_or("info");
    if (std::find(kLevels.begin(), kLevels.end(), level) == kLevels.end())
        addError("--log-level", fmt::format("'{}' is not debug, info, warning or error", level));
    return level;
}

NodeSettings SettingsReader::read()
{
    NodeSettings settings;
    settings.nodeId = NodeId(name("--node-id"));
    settings.dataCentre = DataCentreId(name("--data-centre"));
    settings.region = RegionId(name("--region"));
    settings.dataCentres = dataCentres();
    settings.listen = address("--listen");
    settings.peerListen = address("--peer-listen");
    if (settings.listen.port != 0 && settings.listen == settings.peerListen)
        addError("--peer-listen", "must differ from --listen");
    settings.idsAreAddresses = isSet("--control-seeds");
    settings.controlMembers = settings.idsAreAddresses
        ? seeds(settings.peerListen.port)
        : peers("--control-members", required("--control-members"));
    settings.toleratedLosses = static_cast<std::uint32_t>(
        number("--tolerated-losses", settings.toleratedLosses, 0, kMaxToleratedLosses));
    settings.mayBootstrap = !settings.idsAreAddresses || isSet("--may-found");
    settings.sessionListen = optionalAddress("--session-listen");
    settings.readinessListen = optionalAddress("--readiness-listen");
    settings.platformListen = optionalAddress("--platform-listen");
    settings.promotionAddress = optionalAddress("--promotion-address");
    settings.control = isSet("--control");
    settings.controlOnly = isSet("--control-only");
    if (settings.controlOnly && (!settings.control || settings.sessionListen))
        addError("--control-only",
                 "requires --control and cannot be combined with --session-listen");
    settings.dataDir = dataDir(settings.control);
    settings.relay = isSet("--relay");
    settings.relays = peers("--relays", optional("--relays").value_or(""));
    readLimits(settings);
    settings.operatorKeyFile = file("--operator-key-file");
    if (!settings.idsAreAddresses || isSet("--session-secret-file"))
        settings.sessionSecretFile = sessionSecretFile();
    settings.httpTls = httpTls();
    settings.peerTls = peerTls();
    settings.logLevel = logLevel();
    const std::string output = optional("--log-output").value_or("stdout");
    if (output != "stdout" && output != "stderr")
        addError("--log-output", fmt::format("'{}' is not stdout or stderr", output));
    settings.logToStandardError = output == "stderr";
    settings.checkOnly = isSet("--check-settings");
    return settings;
}

} // namespace

std::optional<SocketAddress> parseSocketAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
    std::string_view host = text.substr(0, colon);
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    std::string ip(host);
    if (!port || !isIpAddress(isBracketed ? AF_INET6 : AF_INET, ip))
        return std::nullopt;
    return SocketAddress { std::move(ip), *port };
}

SettingsResult NodeSettings::create(const std::vector<std::string> &arguments,
                                    const EnvironmentLookup &environment)
{
    auto flags = readFlags(arguments, environment);
    if (auto *text = std::get_if<HelpOrVersionText>(&flags))
        return std::move(*text);
    SettingsReader reader(std::move(std::get<FlagValues>(flags)));
    NodeSettings settings = reader.read();
    std::vector<SettingsError> errors = reader.takeErrors();
    if (!errors.empty())
        return errors;
    return settings;
}

} // namespace shallotlever
