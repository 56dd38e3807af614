// A key is taken from one tenant and given to another one while a requester that uses it stays
// connected.
#include "lab.h"

using namespace lab;

int main(int argc, char **argv)
{
    const bool trouble = begin(argc, argv);
    Deployment d(2);
    int broken = 0;
    Group group("svc270a", d.controlAddresses);
    const int port = freePort(d.ip(101));
    Database &p = group.add("i-p", d.ip(101), port, "vast-a");
    Database &r1 = group.add("i-r1", d.ip(102), port, "norr-a");
    Database &r2 = group.add("i-r2", d.ip(103), port, "ost-a");
    std::mutex mutex;
    std::map<std::string, std::string> userOf;
    group.onRun = [&](const std::string &, const std::string &user, const std::string &id,
                      const std::string &) {
        std::lock_guard lock(mutex);
        userOf[id] = user;
    };
    Platform platform(d.platformIp, d.platformPort, { &group });
    d.start();
    p.start(true);
    r1.start(false);
    r2.start(false);
    const std::vector<std::string> routes { route("lepu270", "svc270a", "primary", 1000, 0) };
    const std::string key = "u6wsjnbanfqasnmgkcuy";
    if (!d.putConfig(config(7, routes, { "svc270a" },
                            { tenant("tenant-a", { key, "a-second-key" }, 120),
                              tenant("tenant-b", { "b-first-key" }, 120) }),
                     20000))
        cannotRun("no configuration");
    d.awaitReady(20000);
    sleepFor(2000ms);

    Requester requester("long-session", d.entryIps[0], d.frontPort);
    if (!requester.start("lepu270", key))
        cannotRun("no session");
    std::string id;
    Answer answer = requester.query("WRITE 1a4 first", 4000, &id);
    for (int i = 0; i < 20 && !answer.ok(); ++i) {
        sleepFor(500ms);
        answer = requester.query("WRITE 1a4 first", 4000, &id);
    }
    if (!answer.ok() || userOf[id] != "tenant-a")
        cannotRun("the first write isn't run for tenant-a");

    const std::vector<std::string> tenants = trouble
        ? std::vector { tenant("tenant-a", { "a-second-key" }, 120),
                        tenant("tenant-b", { "b-first-key", key }, 120) }
        : std::vector { tenant("tenant-a", { key, "a-second-key" }, 120),
                        tenant("tenant-b", { "b-first-key" }, 120) };
    const std::string holder = trouble ? "tenant-b" : "tenant-a";
    if (!d.putConfig(config(12, routes, { "svc270a" }, tenants), 10000))
        cannotRun("the second configuration is not acknowledged");
    // ConfigApplyMs is 4,000 and RevokeMs 5,000; the requester rests for longer than both.
    sleepFor(11000ms);

    for (int i = 0; i < 5; ++i) {
        answer = requester.query(i % 2 == 0 ? "WRITE 1a4 second" : "READ 1a4", 4000, &id);
        std::lock_guard lock(mutex);
        const auto ran = userOf.find(id);
        if (ran != userOf.end() && ran->second != holder) {
            ++broken;
            RECORD("UNASKED: statement %s was run for %s, but %s holds the requester's key",
                   id.c_str(), ran->second.c_str(), holder.c_str());
        }
        if (answer.closed)
            break;
    }
    Requester fresh("new-session", d.entryIps[1], d.frontPort);
    if (fresh.start("lepu270", key)) {
        fresh.query("READ 1a4", 4000, &id);
        std::lock_guard lock(mutex);
        RECORD("for comparison: a new session with the same key is run for %s", userOf[id].c_str());
    }
    RECORD("statements run for a tenant that doesn't hold the key: %d", broken);
    finish(broken > 0 ? 1 : 0);
}
