// A replica that has confirmed commits starts again empty under its id while the primary is down.
#include "lab.h"

using namespace lab;

int main(int argc, char **argv)
{
    const bool trouble = begin(argc, argv);
    Deployment d(2);
    int lost = 0;
    Group group("svc270a", d.controlAddresses);
    const int port = freePort(d.ip(101));
    Database &p = group.add("i-p", d.ip(101), port, "vast-a");
    Database &r1 = group.add("i-r1", d.ip(102), port, "norr-a");
    Database &r2 = group.add("i-r2", d.ip(103), port, "ost-a");
    Platform platform(d.platformIp, d.platformPort, { &group });
    d.start();
    p.start(true);
    r1.start(false);
    r2.start(false);
    const std::vector<std::string> routes { route("lepu270", "svc270a", "primary", 1000, 0) };
    if (!d.putConfig(config(7, routes, { "svc270a" },
                            { tenant("tenant-a", { "u6wsjnbanfqasnmgkcuy" }, 400) }),
                     20000))
        cannotRun("no configuration");
    d.awaitReady(20000);
    sleepFor(3000ms);

    Requester requester("writer", d.entryIps[0], d.frontPort);
    if (!requester.start("lepu270", "u6wsjnbanfqasnmgkcuy"))
        cannotRun("no session");
    const auto write = [&](int n) {
        std::string id;
        if (requester.query("WRITE item" + std::to_string(n) + " v", 4000, &id).ok()) {
            group.noteAcknowledged(id);
            return true;
        }
        return false;
    };
    for (int i = 0; i < 20; ++i)
        write(i);
    sleepFor(6000ms);
    if (trouble) {
        // replica_lag: the replica receives nothing, for less than 6.5 s.
        r2.deaf = true;
        RECORD("database i-r2: receives nothing");
    }
    int acknowledged = 0;
    for (int i = 20; i < 50; ++i)
        acknowledged += write(i) ? 1 : 0;
    if (acknowledged == 0)
        cannotRun("no write is acknowledged");
    if (trouble) {
        p.crash();
        r1.crash();
        sleepFor(500ms);
        r1.restart(true);
        sleepFor(4500ms);
        r2.deaf = false;
        RECORD("database i-r2: receives again");
        sleepFor(1900ms);
        // The primary comes back with its log 6.9 s after its crash.
        p.restart(false);
        sleepFor(10000ms);
    }
    lost = group.lost;
    RECORD("acknowledged commits: %zu", group.acknowledged.size());
    RECORD("acknowledged commits that aren't in the log of the promoted database: %d", lost);
    finish(lost > 0 ? 1 : 0);
}
