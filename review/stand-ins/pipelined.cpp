// A requester sends statements ahead of the answers.
#include "lab.h"

using namespace lab;

int main(int argc, char **argv)
{
    const bool trouble = begin(argc, argv);
    Deployment d(2);
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
    Requester requester("r", d.entryIps[0], d.frontPort);
    if (!requester.start("lepu270", "u6wsjnbanfqasnmgkcuy") || !requester.query("READ a").ok())
        cannotRun("no session");
    int broken = 0;
    for (int round = 0; round < 5; ++round) {
        const std::vector<std::string> texts { "READ a", "SET zone z" + std::to_string(round),
                                               "WRITE b x", "READ c" };
        std::deque<std::pair<std::string, std::string>> outstanding;
        const auto receive = [&] {
            const Answer answer = requester.receive(5000);
            const auto [id, text] = outstanding.front();
            outstanding.pop_front();
            RECORD("requester r: the answer in the place of %s (%s): %s", id.c_str(), text.c_str(),
                   answer.text().c_str());
            if (!text.starts_with("SET") && answer.ok()
                && answer.complete.find(id) == std::string::npos) {
                ++broken;
                RECORD("MIXED: a success without the signature for statement %s", id.c_str());
            }
            if (answer.timedOut) {
                ++broken;
                RECORD("no answer to statement %s", id.c_str());
            }
        };
        for (std::size_t i = 0; i < texts.size(); ++i) {
            const std::string id = requester.newId();
            requester.sendQuery(id, texts[i]);
            outstanding.emplace_back(id, texts[i]);
            if (!trouble)
                receive();
            else if (i == 2)
                sleepFor(400ms);
        }
        while (!outstanding.empty())
            receive();
    }
    finish(broken > 0 ? 1 : 0);
}
