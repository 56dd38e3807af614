// Runs one node: a proxy and, with --control, a member of the control group.

#include <csignal>
#include <iostream>

#include <QCoreApplication>
#include <QSocketNotifier>

#include <malloc.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "platform_link.h"
#include "shallotlever/edge/qt_log.h"
#include "shallotlever/node/node.h"
#include "shallotlever/upstream/connection.h"

namespace {

/// Blocks SIGTERM, SIGINT and SIGHUP and returns a descriptor that becomes readable when one
/// arrives. Must be called before other threads start, so that they inherit the signal mask.
int openSignalDescriptor()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
}

/// Shuts the node down, except on SIGHUP: settings come from arguments and environment and are
/// fixed while the process runs, so a reload request is only logged.
void handleSignal(int signal, shallotlever::Node &node, const shallotlever::Logger &logger)
{
    if (signal == SIGHUP)
        logger.info("reload_requested", { { "effect", "settings apply at the next start" } });
    else
        node.shutDown();
}

/// Large buffers are returned to the operating system when they are freed, whatever was allocated
/// before.
void configureAllocator()
{
    constexpr int kLargeBytes = 128 << 10;
    mallopt(M_MMAP_THRESHOLD, kLargeBytes);
    mallopt(M_TRIM_THRESHOLD, kLargeBytes);
}

} // namespace

int main(int argc, char **argv)
{
    using namespace shallotlever;
    configureAllocator();
    clearLibpqEnvironment();
    const auto settingsOrStatus = loadNodeSettings(argc, argv, std::cout, std::cerr);
    if (const int *status = std::get_if<int>(&settingsOrStatus))
        return *status;
    const auto &settings = std::get<NodeSettings>(settingsOrStatus);
    const Logger logger(settings.nodeId,
                        logLevelFromName(settings.logLevel).value_or(LogLevel::Info),
                        settings.logToStandardError ? STDERR_FILENO : STDOUT_FILENO);
    installQtLog(logger);
    const int signalDescriptor = openSignalDescriptor();
    QCoreApplication application(argc, argv);
    auto platform = PlatformLink::create(settings);
    auto node = Node::create(settings, platform->adapter());
    if (!node.ok()) {
        logger.error("start_failed", { { "error", std::string(node.status().message()) } });
        return 1;
    }
    if (const absl::Status serveStatus = platform->serve(**node); !serveStatus.ok()) {
        logger.error("start_failed", { { "error", std::string(serveStatus.message()) } });
        return 1;
    }
    // Reports the ports to tools that start nodes. They send the logs to standard error, so that
    // this is the only line on standard output.
    std::cout << R"({"ready":true,"port":)" << (*node)->httpPort() << R"(,"peer_port":)"
              << (*node)->peerPort() << "}" << std::endl;
    QSocketNotifier notifier(signalDescriptor, QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, &application, [&] {
        signalfd_siginfo info {};
        while (read(signalDescriptor, &info, sizeof(info)) == sizeof(info))
            handleSignal(static_cast<int>(info.ssi_signo), **node, logger);
    });
    return QCoreApplication::exec();
}
