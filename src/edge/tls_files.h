#pragma once

#include <memory>
#include <mutex>
#include <string>

#include <QSslConfiguration>

#include "absl/status/statusor.h"
#include "shallotlever/base/time.h"
#include "shallotlever/edge/listener.h"

namespace shallotlever {

/// TLS configuration of the listener. Reloads the certificate and key when a file changes.
/// Thread-safe.
class TlsFiles
{
public:
    static absl::StatusOr<std::unique_ptr<TlsFiles>> load(const EdgeTlsFiles &files,
                                                          const Logger &logger);

    /// Returns the configuration for a new connection. Checks the files for changes at most once
    /// per second. The previous configuration stays in use while the files are invalid, for example
    /// while only one of them has been replaced.
    QSslConfiguration currentConfiguration(TimePoint now);

private:
    TlsFiles(EdgeTlsFiles files, const Logger &logger);
    absl::Status reload();
    /// Inode, size and modification time of both files; changes whenever one of the files does.
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
