// The node: entry proxy and, with --control, member of the control group.

#include <csignal>
#include <iostream>

#include <QCoreApplication>
#include <QSocketNotifier>

#include <sys/signalfd.h>
#include <unistd.h>

#include "platform_link.h"
#include "shallotlever/edge/qt_log.h"
#include "shallotlever/node/node.h"
#include "shallotlever/upstream/connection.h"

namespace {

/// Blocks the stop signals and gives a descriptor that becomes readable when one arrives. Called
/// before other threads start, so that they inherit the mask.
int stopSignalDescriptor()
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

/// Settings are arguments and environment, which last as long as the process; a hangup only tells
/// that other ones await the next start.
void onSignal(int signal, shallotlever::Node &node, const shallotlever::Logger &logger)
{
    if (signal == SIGHUP)
        logger.info("reload_requested", { { "effect", "settings apply at the next start" } });
    else
        node.shutDown();
}

} // namespace

int main(int argc, char **argv)
{
    using namespace shallotlever;
    clearLibpqEnvironment();
    const auto loaded = loadNodeSettings(argc, argv, std::cout, std::cerr);
    if (const int *status = std::get_if<int>(&loaded))
        return *status;
    const auto &settings = std::get<NodeSettings>(loaded);
    const Logger logger(settings.nodeId,
                        logLevelFromName(settings.logLevel).value_or(LogLevel::Info),
                        settings.logToStandardError ? STDERR_FILENO : STDOUT_FILENO);
    installQtLog(logger);
    const int signalDescriptor = stopSignalDescriptor();
    QCoreApplication application(argc, argv);
    auto platform = PlatformLink::create(settings);
    auto node = Node::create(settings, platform->adapter());
    if (!node.ok()) {
        logger.error("start_failed", { { "error", std::string(node.status().message()) } });
        return 1;
    }
    if (const absl::Status served = platform->serve(**node); !served.ok()) {
        logger.error("start_failed", { { "error", std::string(served.message()) } });
        return 1;
    }
    // For tools that start nodes, which send the logs to standard error.
    std::cout << R"({"ready":true,"port":)" << (*node)->httpPort() << R"(,"peer_port":)"
              << (*node)->peerPort() << "}" << std::endl;
    QSocketNotifier notifier(signalDescriptor, QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, &application, [&] {
        signalfd_siginfo info {};
        while (read(signalDescriptor, &info, sizeof(info)) == sizeof(info))
            onSignal(static_cast<int>(info.ssi_signo), **node, logger);
    });
    return QCoreApplication::exec();
}
