// A core machine is removed for good; then all processes are killed and start again with the two
// seeds that are left.
#include "lab.h"

using namespace lab;

int main(int argc, char **argv)
{
    const bool trouble = begin(argc, argv);
    constexpr double kRecoveryS = 12;
    Deployment d(3);
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
                            { tenant("tenant-a", { "u6wsjnbanfqasnmgkcuy" }, 1000) }),
                     20000))
        cannotRun("no configuration");
    d.awaitReady(20000);
    sleepFor(3000ms);

    std::mutex mutex;
    // When each operation was sent, and whether it was served.
    std::vector<std::pair<double, bool>> operations;
    std::atomic<bool> stop { false };
    std::vector<std::thread> threads;
    for (int n = 0; n < 6; ++n) {
        threads.emplace_back([&, n] {
            const auto note = [&](double sentAt, bool served) {
                std::lock_guard lock(mutex);
                operations.emplace_back(sentAt, served);
            };
            for (int session = 0; !stop; ++session) {
                const double connectedAt = seconds();
                Requester requester("r" + std::to_string(n) + "." + std::to_string(session),
                                    d.entryIps[(n + session) % d.entryIps.size()], d.frontPort);
                if (!requester.start("lepu270", "u6wsjnbanfqasnmgkcuy")) {
                    note(connectedAt, false);
                    sleepFor(200ms);
                    continue;
                }
                bool open = true;
                while (open && !stop) {
                    const double sentAt = seconds();
                    const Answer answer = requester.query("READ item" + std::to_string(n), 4000);
                    note(sentAt, answer.ok());
                    open = !answer.closed && !answer.timedOut;
                    sleepFor(100ms);
                }
            }
        });
    }
    sleepFor(6000ms);
    Process &removed = d.control[2];
    if (trouble) {
        removed.signal(SIGTERM);
        if (!removed.wait(6000))
            removed.kill();
        RECORD("%s is removed for good", removed.name.c_str());
        // The operator's list lags by SeedLagS, 3 s.
        sleepFor(8000ms);
        d.setSeeds({ d.controlAddresses.ips[0], d.controlAddresses.ips[1] });
    }
    const double faultAt = seconds();
    std::vector<Process *> left { &d.control[0], &d.control[1] };
    for (Process &entry : d.entry)
        left.push_back(&entry);
    if (trouble) {
        // The final fault: all processes are killed, and are back within a second.
        for (Process *process : left)
            process->kill();
        sleepFor(700ms);
        for (Process *process : left)
            d.restart(*process);
    }
    const double backAt = seconds();
    int endedByThemselves = 0;
    while (seconds() < backAt + kRecoveryS + 8) {
        for (Process *process : left) {
            // A process that ends is started again after a short delay.
            if (process->wait(0)) {
                ++endedByThemselves;
                sleepFor(300ms);
                d.restart(*process);
            }
        }
        sleepFor(20ms);
    }
    stop = true;
    for (std::thread &t : threads)
        t.join();
    int before = 0, servedBefore = 0, after = 0, servedAfter = 0;
    for (const auto &[sentAt, served] : operations) {
        if (sentAt < faultAt) {
            ++before;
            servedBefore += served ? 1 : 0;
        } else if (sentAt > backAt + kRecoveryS) {
            ++after;
            servedAfter += served ? 1 : 0;
        }
    }
    RECORD("before the final fault %d of %d operations are served; of those sent later than %.0f s "
           "after the machines are back, %d of %d; processes that ended by themselves: %d",
           servedBefore, before, kRecoveryS, servedAfter, after, endedByThemselves);
    if (before == 0 || servedBefore * 4 < before || after == 0)
        cannotRun("too little was served before the final fault");
    const bool broken = servedAfter * 4 < after;
    if (broken)
        RECORD("RECOVER: less than a quarter is served");
    finish(broken ? 1 : 0);
}
