#include "event_loop.h"

#include <QCoreApplication>
#include <QDeadlineTimer>

namespace shallotlever::support {

void ensureApplication()
{
    static int argc = 1;
    static char name[] = "test";
    static char *argv[] = { name, nullptr };
    static const QCoreApplication application(argc, argv);
}

bool spinUntil(const std::function<bool()> &done)
{
    ensureApplication();
    const QDeadlineTimer deadline(kWaitLimit);
    while (!done()) {
        if (deadline.hasExpired())
            return false;
        QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    }
    return true;
}

} // namespace shallotlever::support
