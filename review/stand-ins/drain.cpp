// A machine that takes requests gets SIGTERM while requesters send one statement after the other.
#include "lab.h"

using namespace lab;

int main(int argc, char **argv)
{
    const bool trouble = begin(argc, argv);
    Deployment d(3);
    constexpr double kGraceS = 6;
    std::atomic<int> broken { 0 };
    Group group("svc270a", d.controlAddresses);
    const int port = freePort(d.ip(101));
    Database &p = group.add("i-p", d.ip(101), port, "vast-a");
    Database &r1 = group.add("i-r1", d.ip(102), port, "norr-a");
    Database &r2 = group.add("i-r2", d.ip(103), port, "ost-a");
    for (Database *database : { &p, &r1, &r2 }) {
        // Work of departure-board on the site farjeplan.
        database->meanWorkMs = 55;
        database->maxWorkMs = 410;
    }
    std::mutex mutex;
    std::map<std::string, double> reachedAt;
    group.onRun = [&](const std::string &, const std::string &, const std::string &id,
                      const std::string &) {
        std::lock_guard lock(mutex);
        reachedAt[id] = seconds();
    };
    Platform platform(d.platformIp, d.platformPort, { &group });
    d.start();
    p.start(true);
    r1.start(false);
    r2.start(false);
    const std::vector<std::string> routes { route("lepu270", "svc270a", "primary", 1000, 0),
                                            route("huvo11a", "svc270a", "bounded_staleness", 3000,
                                                  1500) };
    if (!d.putConfig(config(7, routes, { "svc270a" },
                            { tenant("tenant-a", { "u6wsjnbanfqasnmgkcuy" }, 1000) }),
                     20000))
        cannotRun("no configuration");
    d.awaitReady(20000);
    sleepFor(6000ms);

    std::atomic<double> termAt { -1 };
    std::atomic<bool> stop { false };
    std::vector<std::thread> threads;
    for (int n = 0; n < 48; ++n) {
        threads.emplace_back([&, n] {
            Requester requester("r" + std::to_string(n), d.entryIps[0], d.frontPort);
            const bool writes = n % 7 == 0;
            if (!requester.start(writes ? "lepu270" : "huvo11a", "u6wsjnbanfqasnmgkcuy"))
                return;
            while (!stop) {
                const std::string id = requester.newId();
                const std::string text =
                    writes ? "WRITE " + std::to_string(n) + " " + id : "READ " + std::to_string(n);
                const double sentAt = seconds();
                if (!requester.sendQuery(id, text))
                    break;
                const Answer answer = requester.receive(4000);
                const double endedAt = seconds();
                RECORD("requester r%d: %s is answered: %s", n, id.c_str(), answer.text().c_str());
                if (!answer.closed)
                    continue;
                std::lock_guard lock(mutex);
                const auto reached = reachedAt.find(id);
                const double since = sentAt - termAt;
                // Not counted: a request that reached no database, and one that was sent up
                // to 3 s after the SIGTERM if its database was still at work in the last
                // sixth of GraceS.
                const bool excused = since <= 3 && endedAt - termAt >= kGraceS * 5 / 6;
                if (termAt > 0 && reached != reachedAt.end() && !excused
                    && endedAt < termAt + kGraceS + 1) {
                    ++broken;
                    RECORD("LOST: %s was sent %.3f s after the SIGTERM, passed on to a "
                           "database %.3f s after it, and the connection ended %.3f s after "
                           "it without an answer",
                           id.c_str(), since, reached->second - termAt, endedAt - termAt);
                }
                break;
            }
        });
    }
    // No disturbance for more than StableWindowMs (5,000) before.
    sleepFor(6000ms);
    if (trouble) {
        termAt = seconds();
        d.entry[0].signal(SIGTERM);
        d.entry[0].wait(6000);
        if (d.entry[0].pid > 0)
            d.entry[0].kill();
    } else {
        sleepFor(6000ms);
    }
    sleepFor(1500ms);
    stop = true;
    for (std::thread &t : threads)
        t.join();
    RECORD("requests that were passed on and lost: %d", broken.load());
    finish(broken > 0 ? 1 : 0);
}
