#include "service_host.h"

namespace shallotlever {

ServiceHost::ServiceHost(ServiceExecutorOptions options, NodeMetrics &metrics, QThread &thread)
    : m_context(std::make_unique<QObject>())
{
    m_context->moveToThread(&thread);
    QMetaObject::invokeMethod(
        m_context.get(),
        [this, options = std::move(options), &metrics] {
            m_executor = ServiceExecutor::create(options, metrics);
        },
        Qt::QueuedConnection);
}

ServiceHost::~ServiceHost()
{
    stop();
}

void ServiceHost::submit(WorkItem item)
{
    auto shared = std::make_shared<WorkItem>(std::move(item));
    post([shared](ServiceExecutor &executor) { executor.submit(std::move(*shared)); });
}

void ServiceHost::applyView(ServiceView view)
{
    post([view = std::move(view)](ServiceExecutor &executor) { executor.applyView(view); });
}

void ServiceHost::startDrain()
{
    post([](ServiceExecutor &executor) { executor.startDrain(); });
}

void ServiceHost::requestReport()
{
    post([this](ServiceExecutor &executor) {
        ServiceReport report = executor.report();
        const std::lock_guard lock(m_reportMutex);
        m_report = std::move(report);
    });
}

ServiceReport ServiceHost::lastReport() const
{
    const std::lock_guard lock(m_reportMutex);
    return m_report;
}

void ServiceHost::stop()
{
    if (!m_context)
        return;
    if (m_context->thread()->isRunning()) {
        QMetaObject::invokeMethod(
            m_context.get(), [this] { m_executor.reset(); }, Qt::BlockingQueuedConnection);
    }
    m_context.reset();
}

void ServiceHost::post(std::function<void(ServiceExecutor &)> action)
{
    QMetaObject::invokeMethod(
        m_context.get(),
        [this, action = std::move(action)] {
            if (m_executor)
                action(*m_executor);
        },
        Qt::QueuedConnection);
}

} // namespace shallotlever
