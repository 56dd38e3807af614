// A machine that takes requests is killed and starts again while databases still run what it sent.
#include "lab.h"

using namespace lab;

int main(int argc, char **argv)
{
    const bool trouble = begin(argc, argv);
    // As on the site: 7 fronts and 3 core machines, 3 services of 3 databases.
    Deployment d(7);
    Group group("svc270a", d.controlAddresses);
    const int port = freePort(d.ip(101));
    Database &p = group.add("i-p", d.ip(101), port, "vast-a");
    Database &r1 = group.add("i-r1", d.ip(102), port, "norr-a");
    Database &r2 = group.add("i-r2", d.ip(103), port, "ost-a");
    for (Database *database : { &p, &r1, &r2 }) {
        // Work of verse-commission on the site regie-voeux-fes.
        database->meanWorkMs = 8;
        database->maxWorkMs = 60;
        database->slots = 3;
        database->queue = 24;
    }
    Group second("svc270b", d.controlAddresses), third("svc270c", d.controlAddresses);
    for (int i = 0; i < 3; ++i) {
        second.add("i-b" + std::to_string(i), d.ip(111 + i), port, d.zones[i]).start(i == 0);
        third.add("i-c" + std::to_string(i), d.ip(121 + i), port, d.zones[i]).start(i == 0);
    }
    Platform platform(d.platformIp, d.platformPort, { &group, &second, &third });
    d.start();
    p.start(true);
    r1.start(false);
    r2.start(false);
    const std::vector<std::string> routes { route("lepu270", "svc270a", "primary", 1000, 0) };
    if (!d.putConfig(config(7, routes, { "svc270a", "svc270b", "svc270c" },
                            { tenant("tenant-a", { "u6wsjnbanfqasnmgkcuy" }, 1000) }),
                     20000))
        cannotRun("no configuration");
    d.awaitReady(20000);
    sleepFor(6000ms);

    if (trouble) {
        // srv_slow, for less than 6.5 s.
        constexpr double kSlowFactor = 5;
        p.meanWorkMs = p.meanWorkMs * kSlowFactor;
        p.maxWorkMs = p.maxWorkMs * kSlowFactor;
        RECORD("database i-p: slow");
    }
    constexpr std::size_t kFront = 1;
    constexpr std::chrono::milliseconds kRestartDelay { 200 };
    std::atomic<bool> stop { false };
    std::atomic<int> broken { 0 }, good { 0 };
    std::mutex mutex;
    std::vector<std::string> falseWrites;
    std::vector<std::thread> threads;
    for (int n = 0; n < 42; ++n) {
        threads.emplace_back([&, n] {
            const std::string name = "r" + std::to_string(n);
            for (int session = 0; !stop; ++session) {
                Requester requester(name + "." + std::to_string(session), d.entryIps[kFront],
                                    d.frontPort);
                if (!requester.start("lepu270", "u6wsjnbanfqasnmgkcuy")) {
                    sleepFor(20ms);
                    continue;
                }
                for (int i = 0; !stop; ++i) {
                    std::string id;
                    const std::string item = name + "item" + std::to_string(i);
                    const Answer answer = requester.query(
                        (n + i) % 2 == 0 ? "WRITE " + item + " x" : "READ " + item, 5000, &id);
                    if (answer.closed || answer.timedOut)
                        break;
                    if (!answer.ok())
                        continue;
                    ++good;
                    if (answer.complete.find(id) == std::string::npos) {
                        ++broken;
                        if ((n + i) % 2 == 0) {
                            std::lock_guard lock(mutex);
                            falseWrites.push_back(id);
                        }
                        RECORD("MIXED: requester %s gets a success for %s with the signature %s",
                               requester.name().c_str(), id.c_str(), answer.complete.c_str());
                    }
                }
            }
        });
    }
    // The first requests of this machine are under way.
    sleepFor(60ms);
    if (trouble) {
        d.entry[kFront].kill();
        sleepFor(kRestartDelay);
        d.restart(d.entry[kFront]);
    }
    sleepFor(4000ms);
    if (trouble) {
        p.meanWorkMs = 8;
        p.maxWorkMs = 60;
        RECORD("database i-p: no longer slow");
    }
    stop = true;
    for (std::thread &t : threads)
        t.join();
    for (const std::string &id : falseWrites) {
        std::lock_guard lock(group.mutex);
        if (!p.holds(id))
            RECORD("the write %s was reported as done and is not in the database's log",
                   id.c_str());
    }
    RECORD("successes: %d, of them with the signature of another statement: %d", good.load(),
           broken.load());
    finish(broken > 0 ? 1 : 0);
}
