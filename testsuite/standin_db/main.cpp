#include <docopt/docopt.h>
#include <pthread.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "announcer.h"
#include "faults.h"
#include "net.h"
#include "protocol.h"
#include "replication.h"
#include "session.h"
#include "storage.h"

namespace standin {
namespace {

constexpr const char *kUsage = R"(Stand-in database for tests.

Usage:
  standin_db --id=ID --work-dir=DIR [options]

Options:
  --id=ID                    Upstream id.
  --work-dir=DIR             Directory of the data file and the fence.
  --service=NAME             Service [default: bookings-db].
  --data-centre=NAME         Data centre [default: waw-a].
  --listen=ADDRESS           Host and port of clients and peers [default: 127.0.0.1:0].
  --control=ADDRESS          Host and port of fault commands [default: 127.0.0.1:0].
  --peers=LIST               Other databases of the group, id=host:port,... [default: ].
  --initial-primary          Become primary at term 1 if the log is empty.
  --slots=N                  Statements executed at the same time [default: 2].
  --connection-limit=N       Sessions [default: 30].
  --connect-delay-ms=N       Time to open a session [default: 0].
  --replication-delay-ms=N   Age of a log entry before a replica applies it [default: 0].
  --statement-time-ms=N      Simulated service time of a statement [default: 0].
  --announce=URLS            Entry VMs, http://IP:PORT,... [default: ].
  --credential-file=FILE     File with the credential of announcements [default: ].

Prints one JSON line with port and control_port when it is ready. Each line sent to the control
port is a command, answered by one line:
  freeze | unfreeze               accept, answer, announce and replicate nothing
  cut IDS [in|out|both]           in: requests from these peers get no answer;
  heal IDS [in|out|both]          out: no requests are sent to them
  cut-clients | heal-clients      clients get no answers; nothing is announced
  refuse on|off                   close new client connections at once
  drop-after N                    close the next answered connection after N bytes of the answer
  drop-before-answer [PREFIX]     close instead of answering the next statement that starts so
  replication-delay MS | statement-time MS | round-trip-time MS | leaving on|off
  peers id=host:port,...          replace the list of peers
  stats                           counters as JSON
Sessions of user shallotlever_control are exempt from the connection limit and from dropped answers.
)";

using Arguments = std::map<std::string, docopt::value>;

int numberOf(const Arguments &arguments, const char *name)
{
    return static_cast<int>(arguments.at(name).asLong());
}

std::vector<Address> parseEntries(const std::string &list)
{
    static const std::string scheme = "http://";
    std::vector<Address> entries;
    std::istringstream items(list);
    for (std::string item; std::getline(items, item, ',');) {
        if (item.rfind(scheme, 0) != 0)
            throw std::invalid_argument("expected http://IP:PORT");
        entries.push_back(parseAddress(item.substr(scheme.size())));
    }
    return entries;
}

AnnouncerSettings announcerSettings(const Arguments &arguments, const Address &self)
{
    AnnouncerSettings settings;
    settings.entries = parseEntries(arguments.at("--announce").asString());
    std::ifstream(arguments.at("--credential-file").asString()) >> settings.credential;
    settings.id = arguments.at("--id").asString();
    settings.service = arguments.at("--service").asString();
    settings.dataCentre = arguments.at("--data-centre").asString();
    settings.self = self;
    settings.slots = numberOf(arguments, "--slots");
    settings.connectionLimit = numberOf(arguments, "--connection-limit");
    return settings;
}

void acceptConnections(Server &server, const Socket &listener)
{
    for (;;) {
        server.faults.waitWhileFrozen();
        Socket socket = acceptFrom(listener);
        std::thread([&server, client = std::move(socket)]() mutable {
            try {
                serveConnection(server, std::move(client));
            } catch (const SqlFailure &failure) {
                std::cerr << "connection closed: " << failure.message << "\n";
            }
        }).detach();
    }
}

void runReplicator(Replicator &replicator)
{
    try {
        replicator.pullEntries();
    } catch (const SqlFailure &failure) {
        std::cerr << "replication stopped: " << failure.message << "\n";
        std::_Exit(3);
    }
}

/// Blocks the signals in all threads, so that main can wait for them.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int run(const Arguments &arguments)
{
    const sigset_t signals = blockSignals();
    Faults faults;
    faults.replicationDelayMs = numberOf(arguments, "--replication-delay-ms");
    faults.statementTimeMs = numberOf(arguments, "--statement-time-ms");
    faults.setPeers(arguments.at("--peers").asString());
    Storage storage(arguments.at("--work-dir").asString(),
                    arguments.at("--initial-primary").asBool());
    Slots slots(numberOf(arguments, "--slots"));
    Server server { storage,
                    faults,
                    slots,
                    { numberOf(arguments, "--connection-limit"),
                      numberOf(arguments, "--connect-delay-ms") } };
    Address address = parseAddress(arguments.at("--listen").asString());
    const Socket listener = listenOn(address);
    address.port = localPort(listener);
    const Socket control = listenOn(parseAddress(arguments.at("--control").asString()));
    Replicator replicator(arguments.at("--id").asString(), storage, faults);
    Announcer announcer(announcerSettings(arguments, address), storage, faults);

    std::thread([&] { faults.serve(control); }).detach();
    std::thread([&] { acceptConnections(server, listener); }).detach();
    std::thread([&] { replicator.scanPeers(); }).detach();
    std::thread([&] { runReplicator(replicator); }).detach();
    std::thread([&] { announcer.run(); }).detach();
    std::cout << "{\"ready\":true,\"port\":" << address.port
              << ",\"control_port\":" << localPort(control) << "}" << std::endl;

    int signal = 0;
    sigwait(&signals, &signal);
    announcer.announce(true);
    // Threads block in system calls; ending the process is their only end, and every commit is
    // already durable.
    std::_Exit(0);
}

} // namespace
} // namespace standin

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(standin::kUsage, { argv + 1, argv + argc });
    try {
        return standin::run(arguments);
    } catch (const standin::SqlFailure &failure) {
        std::cerr << "cannot start: " << failure.message << "\n";
    } catch (const std::exception &error) {
        std::cerr << "cannot start: " << error.what() << "\n";
    }
    return 1;
}
