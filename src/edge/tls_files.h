#pragma once

#include <memory>
#include <mutex>
#include <string>

#include <QSslConfiguration>

#include "absl/status/statusor.h"
#include "shallotlever/base/time.h"
#include "shallotlever/edge/listener.h"

namespace shallotlever {

/// Certificate and key of the listener, read again when a file changes. Thread-safe.
class TlsFiles
{
public:
    static absl::StatusOr<std::unique_ptr<TlsFiles>> load(const EdgeTlsFiles &files,
                                                          const Logger &logger);

    /// For a new connection. Looks at the files at most once per second. Files that cannot be
    /// used, for instance while only one of them has been replaced, leave the previous ones in use.
    QSslConfiguration currentConfiguration(TimePoint now);

private:
    TlsFiles(EdgeTlsFiles files, const Logger &logger);
    absl::Status reload();
    /// Changes whenever one of the files does.
    std::string fileStamp() const;

    const EdgeTlsFiles m_files;
    const Logger &m_logger;
    std::mutex m_mutex;
    QSslConfiguration m_configuration;
    std::string m_loadedStamp;
    std::string m_rejectedStamp;
    TimePoint m_nextCheck;
};

} // namespace shallotlever
