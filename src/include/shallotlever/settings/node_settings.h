#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <iosfwd>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "shallotlever/base/ids.h"
#include "shallotlever/base/time.h"

namespace shallotlever {

/// An IP address (IPv4, or IPv6 without brackets) and a port.
struct SocketAddress
{
    std::string ip;
    std::uint16_t port = 0;
    friend bool operator==(const SocketAddress &, const SocketAddress &) = default;
};

/// Parses `IP:PORT` or `[IPV6]:PORT`. Accepts port 0, which selects any free port.
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
struct SettingsError
{
    /// Name including the leading dashes, for instance `--listen`.
    std::string flag;
    std::string message;
    friend bool operator==(const SettingsError &, const SettingsError &) = default;
};

/// Output of --help or --version.
struct HelpOrVersionText
{
    std::string text;
};

/// Looks up an environment variable by its full name; nullopt if it is not set.
using EnvironmentLookup = std::function<std::optional<std::string>(const std::string &name)>;

struct NodeSettings;

/// Valid settings, all invalid settings at once, or the output of --help or --version.
using SettingsResult = std::variant<NodeSettings, std::vector<SettingsError>, HelpOrVersionText>;

/// Validated settings of one node. They do not change while the process runs.
struct NodeSettings
{
    NodeId nodeId;
    DataCentreId dataCentre;
    RegionId region;
    /// All data centres of the deployment; empty if they are not known. Orders about others are
    /// refused.
    std::set<DataCentreId> dataCentres;
    /// HTTP listener for callers and operators.
    SocketAddress listen;
    SocketAddress peerListen;
    /// Initially known members of the control group; not empty.
    std::vector<ControlPeer> controlMembers;
    /// Node ids are IP addresses, and all peers listen on the port of peerListen, so that members
    /// that are not configured can be reached by their id.
    bool idsAreAddresses = false;
    /// Number of control members that may fail at the same time. A group with seeds grows until it
    /// tolerates this many failures.
    std::uint32_t toleratedLosses = 1;
    /// This member may bootstrap the control group.
    bool mayBootstrap = true;
    /// Listener for sessions of the platform's protocol.
    std::optional<SocketAddress> sessionListen;
    std::optional<SocketAddress> readinessListen;
    /// Listener for complete configurations and announcements in the platform's format.
    std::optional<SocketAddress> platformListen;
    std::optional<SocketAddress> promotionAddress;
    /// This node is a member of the control group; dataDir is set.
    bool control = false;
    /// This node serves no callers, so it never uses a share or a lease on their behalf.
    bool controlOnly = false;
    std::optional<std::filesystem::path> dataDir;
    /// This node relays control traffic of its data centre.
    bool relay = false;
    /// Relays that this node reports to, in order of preference. If empty, it reports to the
    /// control members.
    std::vector<ControlPeer> relays;
    int edgeThreads = 2;
    int executorThreads = 2;
    /// File with the bootstrap operator key.
    std::optional<std::filesystem::path> operatorKeyFile;
    /// File with the secret that authenticates session tokens; the same on all nodes. Empty only on
    /// nodes of a platform, which do not use session tokens.
    std::filesystem::path sessionSecretFile;
    std::optional<CertificateFiles> httpTls;
    /// Unset only with --allow-insecure-peers.
    std::optional<PeerCertificateFiles> peerTls;
    std::size_t maxHeaderBytes = 16U * 1024U;
    std::size_t maxBodyBytes = 1024U * 1024U;
    std::chrono::milliseconds requestTimeout { 10000 };
    int maxConnections = 8192;
    /// Memory that the process may use; no limit if unset.
    std::optional<std::size_t> memoryBytes;
    /// Descriptors that the process may open; the limit of the operating system if unset.
    std::optional<std::size_t> maxDescriptors;
    /// How long /readyz reports failure during shutdown while the listener still accepts
    /// connections.
    std::chrono::milliseconds drainNotice { 2000 };
    /// Time limit for open requests and transactions to finish after drainNotice.
    std::chrono::milliseconds drainLimit { 30000 };
    /// A name that logLevelFromName() accepts.
    std::string logLevel = "info";
    /// Write logs to standard error instead of standard output.
    bool logToStandardError = false;
    /// Exit after validation (--check-settings).
    bool checkOnly = false;

    /// Parses and validates the arguments (without the program name). A flag takes precedence over
    /// its environment variable SHALLOTLEVER_<FLAG>. Has no side effects and
    /// opens no sockets.
    static SettingsResult create(const std::vector<std::string> &arguments,
                                 const EnvironmentLookup &environment);
};

/// Creates the settings from the arguments and environment of main(). Returns the settings, or an
/// exit status: 2 after printing all invalid settings to `err`, 0 for --help, --version and
/// --check-settings.
std::variant<NodeSettings, int> loadNodeSettings(int argc, const char *const *argv,
                                                 std::ostream &out, std::ostream &err);

} // namespace shallotlever
