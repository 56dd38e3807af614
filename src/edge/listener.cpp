#include "shallotlever/edge/listener.h"

#include <unistd.h>

#include <vector>

#include <QHostAddress>
#include <QTcpServer>
#include <QThread>

#include <fmt/format.h>

#include "edge_worker.h"

namespace shallotlever {

namespace {

/// Maximum number of connections over the limit that are sent an error response at the same time.
/// Further connections are closed without a response, because responding needs memory as well.
constexpr int kMaxRefusedConnections = 256;
/// Maximum number of established connections that wait in the kernel to be accepted.
constexpr int kListenBacklog = 4096;

/// Runs `function` on the thread of `object` and waits for it to return.
template <typename Function>
void invokeBlocking(QObject *object, Function function)
{
    QMetaObject::invokeMethod(object, function, Qt::BlockingQueuedConnection);
}

/// Accepts connections on one thread and distributes them to the workers round-robin.
class Acceptor : public QTcpServer
{
public:
    Acceptor(EdgeSharedState &shared, std::vector<std::unique_ptr<EdgeWorker>> &workers)
        : m_shared(shared)
        , m_workers(workers)
    {
    }

protected:
    void incomingConnection(qintptr descriptor) override
    {
        const bool overLimit =
            m_shared.openConnections.fetch_add(1) >= m_shared.options.limits.maxConnections;
        if (overLimit) {
            m_shared.openConnections.fetch_sub(1);
            if (m_shared.refusedConnections.fetch_add(1) >= kMaxRefusedConnections) {
                m_shared.refusedConnections.fetch_sub(1);
                m_shared.metrics.refusal(ErrorKind::TooManyConnections).increment();
                ::close(static_cast<int>(descriptor));
                return;
            }
        }
        EdgeWorker *worker = m_workers[m_next++ % m_workers.size()].get();
        QMetaObject::invokeMethod(
            worker, [worker, descriptor, overLimit] { worker->adoptSocket(descriptor, overLimit); },
            Qt::QueuedConnection);
    }

private:
    EdgeSharedState &m_shared;
    std::vector<std::unique_ptr<EdgeWorker>> &m_workers;
    std::size_t m_next = 0;
};

absl::Status validateOptions(const EdgeOptions &options)
{
    if (QHostAddress address; !address.setAddress(QString::fromStdString(options.listenIp)))
        return absl::InvalidArgumentError(
            fmt::format("'{}' is not a numeric IP address", options.listenIp));
    if (options.threads < 1)
        return absl::InvalidArgumentError("the listener needs at least one thread");
    return absl::OkStatus();
}

} // namespace

struct EdgeListener::State
{
    State(const EdgeOptions &options, EdgeCallbacks callbacks, NodeMetrics &metrics,
          const Logger &logger)
        : shared { options, std::move(callbacks), metrics, logger, nullptr }
    {
    }
    ~State();

    void startThread(QThread &thread, const QString &name, QObject &object);
    absl::Status listen();

    EdgeSharedState shared;
    std::vector<std::unique_ptr<EdgeWorker>> workers;
    std::unique_ptr<Acceptor> acceptor;
    std::uint16_t port = 0;
    // Declared last, so that the threads end before the objects that live on them are deleted.
    std::vector<std::unique_ptr<QThread>> threads;
};

void EdgeListener::State::startThread(QThread &thread, const QString &name, QObject &object)
{
    thread.setObjectName(name);
    object.moveToThread(&thread);
    thread.start();
}

absl::Status EdgeListener::State::listen()
{
    const EdgeOptions &options = shared.options;
    for (int i = 0; i < options.threads; ++i) {
        workers.push_back(std::make_unique<EdgeWorker>(shared));
        threads.push_back(std::make_unique<QThread>());
        EdgeWorker *worker = workers.back().get();
        startThread(*threads.back(), QStringLiteral("edge-%1").arg(i), *worker);
        invokeBlocking(worker, [worker] { worker->start(); });
    }
    acceptor = std::make_unique<Acceptor>(shared, workers);
    threads.push_back(std::make_unique<QThread>());
    startThread(*threads.back(), QStringLiteral("edge-accept"), *acceptor);
    bool listening = false;
    invokeBlocking(acceptor.get(), [&] {
        acceptor->setListenBacklogSize(kListenBacklog);
        const QHostAddress address(QString::fromStdString(options.listenIp));
        listening = acceptor->listen(address, options.port);
        port = acceptor->serverPort();
    });
    if (!listening)
        return absl::UnavailableError(fmt::format("cannot listen on {} port {}: {}",
                                                  options.listenIp, options.port,
                                                  acceptor->errorString().toStdString()));
    return absl::OkStatus();
}

EdgeListener::State::~State()
{
    if (acceptor)
        invokeBlocking(acceptor.get(), [this] { acceptor->close(); });
    for (const auto &worker : workers)
        invokeBlocking(worker.get(), [&worker] { worker->shutdown(); });
    for (const auto &thread : threads) {
        thread->quit();
        thread->wait();
    }
}

EdgeListener::EdgeListener(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

EdgeListener::~EdgeListener() = default;

absl::StatusOr<std::unique_ptr<EdgeListener>> EdgeListener::create(const EdgeOptions &options,
                                                                   EdgeCallbacks callbacks,
                                                                   NodeMetrics &metrics,
                                                                   const Logger &logger)
{
    if (absl::Status status = validateOptions(options); !status.ok())
        return status;
    auto state = std::make_unique<State>(options, std::move(callbacks), metrics, logger);
    if (options.tls) {
        absl::StatusOr<std::unique_ptr<TlsFiles>> tls = TlsFiles::load(*options.tls, logger);
        if (!tls.ok())
            return tls.status();
        state->shared.tls = *std::move(tls);
    }
    if (absl::Status status = state->listen(); !status.ok())
        return status;
    return std::unique_ptr<EdgeListener>(new EdgeListener(std::move(state)));
}

std::uint16_t EdgeListener::port() const
{
    return m_state->port;
}

void EdgeListener::startDrain()
{
    m_state->shared.draining.store(true);
}

void EdgeListener::stopAccepting()
{
    startDrain();
    Acceptor *acceptor = m_state->acceptor.get();
    invokeBlocking(acceptor, [acceptor] {
        // Closing the socket would reset the connections in its backlog, so accept them first.
        while (acceptor->isListening() && acceptor->waitForNewConnection(0)) { }
        acceptor->close();
    });
}

void EdgeListener::closeIdleConnections(std::chrono::milliseconds minIdleTime)
{
    for (const auto &worker : m_state->workers)
        invokeBlocking(worker.get(),
                       [&worker, minIdleTime] { worker->closeIdleConnections(minIdleTime); });
}

int EdgeListener::requestsInFlight() const
{
    return m_state->shared.requestsInFlight.load();
}

int EdgeListener::openConnections() const
{
    return m_state->shared.openConnections.load();
}

} // namespace shallotlever
