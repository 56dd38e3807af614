// Compares statements sent through a node with the same statements sent straight to the stand-in
// database, in one run on one machine.

#include <atomic>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <thread>

#include <boost/histogram.hpp>
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <libpq-fe.h>
#include <unistd.h>

#include "cluster.h"
#include "event_loop.h"
#include "keep_alive_client.h"

namespace shallotlever::overhead {
namespace {

constexpr const char *kUsage = R"(Measures the overhead of a node.

Usage:
  overhead_bench [--threads=N] [--seconds=S] [--edge-threads=N] [--executor-threads=N]
                 [--round-trip-ms=MS]

Options:
  --threads=N           Closed-loop clients [default: 16].
  --seconds=S           Time of each measurement [default: 3].
  --edge-threads=N      HTTP threads of a node [default: 2].
  --executor-threads=N  Executor threads of a node [default: 2].
  --round-trip-ms=MS    Distance from node to databases [default: 0].
)";

using Clock = std::chrono::steady_clock;
/// One operation of one client; called in a loop by one thread.
using Operation = std::function<void()>;
/// Makes the operation of one client on its own thread.
using MakeOperation = std::function<Operation(int client)>;

struct Result
{
    double perSecond = 0;
    double p50Ms = 0;
    double p99Ms = 0;
};

auto makeHistogram()
{
    // 10 us to 10 s with 1% wide buckets.
    return boost::histogram::make_histogram(
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(1400, 0.01,
                                                                                        10000.0));
}

template <typename Histogram>
double quantile(const Histogram &histogram, double share)
{
    double total = 0;
    for (auto &&bin : boost::histogram::indexed(histogram))
        total += *bin;
    double seen = 0;
    for (auto &&bin : boost::histogram::indexed(histogram)) {
        seen += *bin;
        if (seen >= share * total)
            return bin.bin().upper();
    }
    return 0;
}

Result measure(int clients, std::chrono::seconds duration, const MakeOperation &make)
{
    std::vector<decltype(makeHistogram())> histograms;
    for (int i = 0; i < clients; ++i)
        histograms.push_back(makeHistogram());
    std::atomic<std::uint64_t> count { 0 };
    std::vector<std::thread> threads;
    const auto start = Clock::now();
    for (int i = 0; i < clients; ++i) {
        threads.emplace_back([&, i] {
            const Operation operation = make(i);
            while (Clock::now() - start < duration) {
                const auto before = Clock::now();
                operation();
                histograms[i](
                    std::chrono::duration<double, std::milli>(Clock::now() - before).count());
                count.fetch_add(1, std::memory_order_relaxed);
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    auto merged = makeHistogram();
    for (const auto &histogram : histograms)
        merged += histogram;
    return { static_cast<double>(count) / std::chrono::duration<double>(duration).count(),
             quantile(merged, 0.5), quantile(merged, 0.99) };
}

/// Processor time that a process has used, in seconds.
double processorSeconds(std::int64_t process)
{
    std::ifstream file(fmt::format("/proc/{}/stat", process));
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

void run(PGconn *connection, const char *sql, const char *param)
{
    const char *values[] = { param };
    PGresult *result = PQexecParams(connection, sql, param == nullptr ? 0 : 1, nullptr, values,
                                    nullptr, nullptr, 0);
    const ExecStatusType status = PQresultStatus(result);
    PQclear(result);
    if (status != PGRES_TUPLES_OK && status != PGRES_COMMAND_OK)
        throw std::runtime_error(PQerrorMessage(connection));
}

constexpr const char *kRead = "SELECT v FROM t WHERE id = $1";
constexpr const char *kWrite = "INSERT INTO t (v) VALUES ($1)";

MakeOperation direct(std::uint16_t port, const char *sql)
{
    return [port, sql](int) -> Operation {
        const std::string info =
            fmt::format("host=127.0.0.1 port={} user=bench dbname=bench password=none "
                        "sslmode=disable gssencmode=disable",
                        port);
        std::shared_ptr<PGconn> connection(PQconnectdb(info.c_str()), PQfinish);
        if (PQstatus(connection.get()) != CONNECTION_OK)
            throw std::runtime_error(PQerrorMessage(connection.get()));
        return [connection, sql] { run(connection.get(), sql, "1"); };
    };
}

MakeOperation throughNode(support::Cluster &cluster, const char *sql, const char *mode)
{
    const std::string body = fmt::format(R"({{"sql":"{}","params":["1"],"mode":"{}"}})", sql, mode);
    const std::string path = std::string("/v1/services/") + support::kService + "/statements";
    return [&cluster, path, body](int) -> Operation {
        auto client = std::make_shared<KeepAliveClient>(cluster.port(0));
        return [client, path, body, key = cluster.callerKey()] {
            const KeepAliveReply reply = client->post(path, key, body);
            if (reply.status != 200)
                throw std::runtime_error(reply.body);
        };
    };
}

void print(const char *name, const Result &result, double processorTime)
{
    fmt::print(R"({{"case":"{}","per_second":{:.0f},"p50_ms":{:.3f},"p99_ms":{:.3f})", name,
               result.perSecond, result.p50Ms, result.p99Ms);
    if (processorTime > 0)
        fmt::print(R"(,"node_core_seconds_per_1000":{:.4f})", processorTime);
    fmt::print("}}\n");
}

int runBench(int argc, char **argv)
{
    const auto arguments = docopt::docopt(kUsage, { argv + 1, argv + argc });
    const int clients = static_cast<int>(arguments.at("--threads").asLong());
    const std::chrono::seconds duration(arguments.at("--seconds").asLong());
    support::ClusterOptions options;
    options.databaseOptions = { "--slots=64", "--connection-limit=200" };
    options.nodeOptions = { "--drain-notice-ms=200", "--log-level=error",
                            "--edge-threads=" + arguments.at("--edge-threads").asString(),
                            "--executor-threads=" + arguments.at("--executor-threads").asString() };
    support::Cluster cluster(options);
    for (const char *id : { "a", "b", "c" })
        cluster.group()[id].command("round-trip-time "
                                    + arguments.at("--round-trip-ms").asString());
    const auto nodeCase = [&](const char *name, const char *sql, const char *mode) {
        const double before = processorSeconds(cluster.node(0).processId());
        const Result result = measure(clients, duration, throughNode(cluster, sql, mode));
        const double used = processorSeconds(cluster.node(0).processId()) - before;
        const double statements = result.perSecond * static_cast<double>(duration.count());
        print(name, result, used * 1000 / statements);
    };
    const std::uint16_t replica = cluster.group()["b"].endpoint().port;
    const std::uint16_t primary = cluster.group()["a"].endpoint().port;
    print("read_direct", measure(clients, duration, direct(replica, kRead)), 0);
    nodeCase("read_node", kRead, "read");
    print("write_direct", measure(clients, duration, direct(primary, kWrite)), 0);
    nodeCase("write_node", kWrite, "write");
    return 0;
}

} // namespace
} // namespace shallotlever::overhead

int main(int argc, char **argv)
{
    shallotlever::support::ensureApplication();
    try {
        return shallotlever::overhead::runBench(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "overhead_bench: " << error.what() << '\n';
        return 1;
    }
}
