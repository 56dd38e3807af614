#include <memory>

#include <QTimer>

#include "shallotlever/base/clock.h"
#include "shallotlever/proxy/proxy.h"
#include "upstream_link.h"

namespace shallotlever {

namespace {

/// Connection for control calls to one database. Opened by the first call, and by the first call
/// after a failure.
class SessionControl : public std::enable_shared_from_this<SessionControl>
{
public:
    SessionControl(const SessionProtocol &protocol, LinkTarget target, CallPermit permit)
        : m_protocol(protocol)
        , m_target(std::move(target))
        , m_permit(std::move(permit))
    {
    }

    void call(std::string text, Duration timeout, StatusCallback callback);

private:
    struct Call
    {
        std::string text;
        std::shared_ptr<StatusCallback> callback;
    };

    void open(Duration timeout);
    void send(const Call &call);
    void failPendingCalls(const absl::Status &status);
    void reset();
    /// Closes the connection only if it is still the one numbered `generation`.
    void resetGeneration(std::uint64_t generation);

    const SessionProtocol &m_protocol;
    LinkTarget m_target;
    CallPermit m_permit;
    std::unique_ptr<UpstreamLink> m_link;
    /// Number of the current connection; incremented for each new one.
    std::uint64_t m_generation = 0;
    /// When the current connection was opened.
    TimePoint m_openedAt;
    std::vector<Call> m_waiting;
};

/// Invokes the callback on the first call only.
void finish(const std::shared_ptr<StatusCallback> &callback,
            const absl::StatusOr<UpstreamStatus> &result)
{
    if (const StatusCallback once = std::exchange(*callback, nullptr))
        once(result);
}

void SessionControl::call(std::string text, Duration timeout, StatusCallback callback)
{
    const Call call { std::move(text), std::make_shared<StatusCallback>(std::move(callback)) };
    const std::weak_ptr<SessionControl> self = weak_from_this();
    if (!m_link)
        ++m_generation;
    QTimer::singleShot(std::chrono::duration_cast<std::chrono::milliseconds>(timeout),
                       [self, pending = call.callback, generation = m_generation] {
                           if (!*pending)
                               return;
                           // The connection may be dead; the next call opens another.
                           if (const auto control = self.lock())
                               control->resetGeneration(generation);
                           finish(pending, absl::DeadlineExceededError("no answer"));
                       });
    if (m_link && m_link->isOpen()) {
        send(call);
        return;
    }
    m_waiting.push_back(call);
    if (!m_link)
        open(timeout);
}

void SessionControl::open(Duration timeout)
{
    // A connection that was given up lives on until the event loop destroys it.
    const auto current = [self = weak_from_this(),
                          generation = m_generation]() -> std::shared_ptr<SessionControl> {
        const auto control = self.lock();
        return control && control->m_link && control->m_generation == generation ? control
                                                                                 : nullptr;
    };
    UpstreamLink::Callbacks callbacks;
    callbacks.opened = [current](std::optional<HistoryPoint>, TimePoint) {
        if (const auto control = current()) {
            control->m_openedAt = monotonicNow();
            for (const Call &call : std::exchange(control->m_waiting, {}))
                control->send(call);
        }
    };
    callbacks.failed = [current](LinkOpenFailure, const std::optional<UpstreamError> &) {
        if (const auto control = current()) {
            control->failPendingCalls(absl::UnavailableError("cannot connect"));
            control->reset();
        }
    };
    callbacks.closed = [current] {
        if (const auto control = current())
            control->reset();
    };
    m_link = std::make_unique<UpstreamLink>(
        m_protocol, m_target,
        // Control calls are few and short, and not charged to the budget of the process.
        LinkOptions { timeout, timeout, timeout, true, std::make_shared<MemoryBudget>() },
        std::move(callbacks));
}

void SessionControl::send(const Call &call)
{
    if (!*call.callback)
        return;
    if (!m_permit(monotonicNow())) {
        finish(call.callback, absl::AbortedError("the right to call has ended"));
        return;
    }
    const auto decode = m_protocol.decodeStatus;
    m_link->send(
        "", call.text,
        [decode, callback = call.callback, openedAt = m_openedAt](const UpstreamReply &reply) {
            if (reply.lost) {
                finish(callback, absl::UnavailableError("connection lost"));
            } else if (!reply.notSent.ok()) {
                finish(callback, reply.notSent);
            } else if (!reply.succeeded()) {
                finish(callback,
                       absl::UnavailableError(reply.error ? reply.error->message : "refused"));
            } else if (auto status = decode(reply.firstRow)) {
                status->connectedAt = openedAt;
                finish(callback, *status);
            } else {
                finish(callback, absl::InternalError("status not understood"));
            }
        });
}

void SessionControl::failPendingCalls(const absl::Status &status)
{
    for (const Call &call : std::exchange(m_waiting, {}))
        finish(call.callback, status);
}

void SessionControl::resetGeneration(std::uint64_t generation)
{
    if (generation == m_generation)
        reset();
}

/// Destroys the connection from the event loop, because reset() may run in one of its callbacks.
void SessionControl::reset()
{
    std::shared_ptr<UpstreamLink> old = std::move(m_link);
    QTimer::singleShot(0, [old] {});
}

} // namespace

UpstreamControl makeSessionControl(const SessionProtocol &protocol, const ServiceId &service,
                                   const UpstreamId &upstream, const Endpoint &endpoint,
                                   const std::string &user, PromoteFunction promote,
                                   CallPermit permit)
{
    const auto control = std::make_shared<SessionControl>(
        protocol, LinkTarget { service, upstream, endpoint, user }, permit);
    const SessionProtocol *encoder = &protocol;
    UpstreamControl calls;
    calls.status = [control, encoder](Duration timeout, StatusCallback callback) {
        control->call(encoder->systemText(SystemStatement::Status), timeout, std::move(callback));
    };
    calls.fence = [control, encoder](Term term, Duration timeout, StatusCallback callback) {
        control->call(encoder->fenceText(term), timeout, std::move(callback));
    };
    calls.stepDown = [control, encoder](Term term, Duration timeout, StatusCallback callback) {
        control->call(encoder->stepDownText(term), timeout, std::move(callback));
    };
    calls.resume = [control, encoder](Duration timeout, StatusCallback callback) {
        control->call(encoder->systemText(SystemStatement::Resume), timeout, std::move(callback));
    };
    // Shared by the copies of `calls`, so that the last one withdraws the order.
    const auto pending = std::make_shared<std::unique_ptr<PendingPromotion>>();
    calls.promote = [service, upstream, pending, promote = std::move(promote),
                     permit = std::move(permit)](Term epoch, Duration timeout,
                                                 const StatusCallback &done) {
        // An earlier order must not arrive after this one.
        pending->reset();
        *pending = promote({ service, upstream, epoch, timeout, permit },
                           [done](const absl::Status &status) {
                               done(status.ok() ? absl::StatusOr<UpstreamStatus>(UpstreamStatus {})
                                                : absl::StatusOr<UpstreamStatus>(status));
                           });
    };
    return calls;
}

} // namespace shallotlever
