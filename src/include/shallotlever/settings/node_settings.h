#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "shallotlever/base/ids.h"
#include "shallotlever/base/time.h"

namespace shallotlever {

/// An IP number (IPv4, or IPv6 without brackets) and a port.
struct SocketAddress
{
    std::string ip;
    std::uint16_t port = 0;
    friend bool operator==(const SocketAddress &, const SocketAddress &) = default;
};

/// Reads `IP:PORT` or `[IPV6]:PORT`. Port 0 is accepted (any free port).
std::optional<SocketAddress> parseSocketAddress(std::string_view text);

struct ControlPeer
{
    NodeId id;
    SocketAddress address;
    friend bool operator==(const ControlPeer &, const ControlPeer &) = default;
};

struct CertificateFiles
{
    std::filesystem::path certificate;
    std::filesystem::path key;
};

struct PeerCertificateFiles
{
    std::filesystem::path certificate;
    std::filesystem::path key;
    std::filesystem::path authority;
};

/// One invalid setting.
struct SettingsFault
{
    /// Name with the leading dashes, for instance `--listen`.
    std::string flag;
    std::string message;
    friend bool operator==(const SettingsFault &, const SettingsFault &) = default;
};

/// Text asked for with --help or --version.
struct SettingsText
{
    std::string text;
};

/// Looks up an environment variable by its full name; nullopt if it is not set.
using EnvironmentLookup = std::function<std::optional<std::string>(const std::string &name)>;

struct NodeSettings;

/// Settings, or every fault at once, or the text of --help or --version.
using SettingsResult = std::variant<NodeSettings, std::vector<SettingsFault>, SettingsText>;

/// Settings of one node, validated. Does not change while the process runs.
struct NodeSettings
{
    NodeId nodeId;
    DataCentreId dataCentre;
    RegionId region;
    /// HTTP listener for callers and operators.
    SocketAddress listen;
    SocketAddress peerListen;
    /// The control group as the node first knows it; not empty.
    std::vector<ControlPeer> controlMembers;
    /// Node ids are IP numbers, and peers listen on the port of peerListen: members that are not
    /// configured can be reached by their id.
    bool idsAreAddresses = false;
    /// Control members that may be lost at the same time; a group that has seeds grows to bear it.
    std::uint32_t toleratedLosses = 1;
    /// This member may found the control group.
    bool mayBootstrap = true;
    /// Listener for sessions of the platform's protocol.
    std::optional<SocketAddress> sessionListen;
    std::optional<SocketAddress> readinessListen;
    /// Listener for whole configurations and announcements in the platform's format.
    std::optional<SocketAddress> platformListen;
    std::optional<SocketAddress> promotionAddress;
    /// This node is a member of the control group; dataDir is set.
    bool control = false;
    /// This node serves no callers, so that it never acts on a share or a lease for them.
    bool controlOnly = false;
    std::optional<std::filesystem::path> dataDir;
    /// This node relays control traffic of its data centre.
    bool relay = false;
    /// Relays that this node reports to, in order of preference; empty for the control members.
    std::vector<ControlPeer> relays;
    int edgeThreads = 2;
    int executorThreads = 2;
    /// File with the bootstrap operator key.
    std::optional<std::filesystem::path> operatorKeyFile;
    /// File with the secret that authenticates session tokens; the same on all nodes. Empty only on
    /// nodes of a platform, which have no session tokens.
    std::filesystem::path sessionSecretFile;
    std::optional<CertificateFiles> httpTls;
    /// Empty only with --allow-insecure-peers.
    std::optional<PeerCertificateFiles> peerTls;
    std::size_t maxHeaderBytes = 16U * 1024U;
    std::size_t maxBodyBytes = 1024U * 1024U;
    std::chrono::milliseconds requestTimeout { 10000 };
    int maxConnections = 8192;
    /// How long /readyz fails while the listener still accepts.
    std::chrono::milliseconds drainNotice { 2000 };
    /// Bound for open requests and transactions to finish.
    std::chrono::milliseconds drainLimit { 30000 };
    /// Name as accepted by logLevelFromName.
    std::string logLevel = "info";
    /// Logs go to standard error in place of standard output.
    bool logToStandardError = false;
    /// Stop after validation (--check-settings).
    bool checkOnly = false;

    /// Reads and validates the arguments (without the program name). A flag takes precedence over
    /// its environment variable SHALLOTLEVER_<FLAG>. Opens no socket and changes nothing.
    static SettingsResult create(const std::vector<std::string> &arguments,
                                 const EnvironmentLookup &environment);
};

/// For main: creates the settings from the process environment. Returns the settings, or the exit
/// status after printing: 2 with every fault on `err`, 0 for --help, --version and
/// --check-settings.
std::variant<NodeSettings, int> loadNodeSettings(int argc, const char *const *argv,
                                                 std::ostream &out, std::ostream &err);

} // namespace shallotlever
