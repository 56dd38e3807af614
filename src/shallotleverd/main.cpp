// The node: entry proxy and, with --control, member of the control group.

#include <csignal>
#include <iostream>

#include <QCoreApplication>
#include <QSocketNotifier>

#include <sys/signalfd.h>
#include <unistd.h>

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
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
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
                        logLevelFromName(settings.logLevel).value_or(LogLevel::Info));
    installQtLog(logger);
    const int signalDescriptor = stopSignalDescriptor();
    QCoreApplication application(argc, argv);
    auto node = Node::create(settings);
    if (!node.ok()) {
        logger.error("start_failed", { { "error", std::string(node.status().message()) } });
        return 1;
    }
    // For tools that start nodes; logs go to standard error.
    std::cout << R"({"ready":true,"port":)" << (*node)->httpPort() << R"(,"peer_port":)"
              << (*node)->peerPort() << "}" << std::endl;
    QSocketNotifier notifier(signalDescriptor, QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, &application, [&] {
        signalfd_siginfo info {};
        while (read(signalDescriptor, &info, sizeof(info)) == sizeof(info))
            (*node)->shutDown();
    });
    return QCoreApplication::exec();
}
