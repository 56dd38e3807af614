#pragma once

#include <memory>
#include <mutex>

#include <QThread>

#include "shallotlever/executor/service_executor.h"

namespace shallotlever {

/// Runs a ServiceExecutor on an executor thread and passes work to it from any thread.
class ServiceHost
{
public:
    /// `thread` must run an event loop and outlive the host.
    ServiceHost(ServiceExecutorOptions options, NodeMetrics &metrics, QThread &thread);
    ~ServiceHost();
    ServiceHost(const ServiceHost &) = delete;
    ServiceHost &operator=(const ServiceHost &) = delete;

    // Callable from any thread; these do not block.
    void submit(WorkItem item);
    void applyView(ServiceView view);
    void startDrain();
    /// Asks the executor for a report, which lastReport() returns later.
    void requestReport();
    ServiceReport lastReport() const;

    /// Destroys the executor on its own thread and blocks until that is done.
    void stop();

private:
    void post(std::function<void(ServiceExecutor &)> action);

    /// Lives on the executor thread; actions are queued to it.
    std::unique_ptr<QObject> m_context;
    std::unique_ptr<ServiceExecutor> m_executor;
    mutable std::mutex m_reportMutex;
    ServiceReport m_report;
};

} // namespace shallotlever
