#include "shallotlever/edge/qt_log.h"

#include <QLoggingCategory>

namespace shallotlever {

namespace {

// A global, because Qt's message handler is a plain function without a context argument.
const Logger *installedLogger = nullptr;

LogLevel levelOf(QtMsgType type)
{
    switch (type) {
    case QtDebugMsg:
        return LogLevel::Debug;
    case QtInfoMsg:
        return LogLevel::Info;
    case QtWarningMsg:
        return LogLevel::Warning;
    case QtCriticalMsg:
    case QtFatalMsg:
        break;
    }
    return LogLevel::Error;
}

void handleMessage(QtMsgType type, const QMessageLogContext &context, const QString &message)
{
    const std::string category = context.category == nullptr ? "" : context.category;
    const std::string text = message.toStdString();
    installedLogger->log(levelOf(type), "qt_message",
                         { { "category", category }, { "message", text } });
}

} // namespace

void installQtLog(const Logger &logger)
{
    installedLogger = &logger;
    qInstallMessageHandler(handleMessage);
    QLoggingCategory::setFilterRules(QStringLiteral("qt.httpserver.warning=false"));
}

} // namespace shallotlever
