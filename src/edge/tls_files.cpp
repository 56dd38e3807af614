#include "tls_files.h"

#include <openssl/ssl.h>
#include <sys/stat.h>

#include <QFile>
#include <QSslCertificate>
#include <QSslKey>
#include <QSslSocket>

#include <fmt/format.h>

namespace shallotlever {

namespace {

constexpr Duration kCheckInterval = 1s;

/// Uses OpenSSL, because Qt cannot check whether a private key matches a certificate. Without the
/// check a mismatch would only show up as failed handshakes.
bool keyMatchesCertificate(const EdgeTlsFiles &files)
{
    const std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> context(SSL_CTX_new(TLS_method()),
                                                                    &SSL_CTX_free);
    return context != nullptr
        && SSL_CTX_use_certificate_chain_file(context.get(), files.certificate.c_str()) == 1
        && SSL_CTX_use_PrivateKey_file(context.get(), files.key.c_str(), SSL_FILETYPE_PEM) == 1
        && SSL_CTX_check_private_key(context.get()) == 1;
}

QSslKey readPrivateKey(const std::filesystem::path &path)
{
    QFile file(QString::fromStdString(path.string()));
    if (!file.open(QIODevice::ReadOnly))
        return {};
    const QByteArray pem = file.readAll();
    const QSslKey rsa(pem, QSsl::Rsa);
    return rsa.isNull() ? QSslKey(pem, QSsl::Ec) : rsa;
}

} // namespace

TlsFiles::TlsFiles(EdgeTlsFiles files, const Logger &logger)
    : m_files(std::move(files))
    , m_logger(logger)
{
}

absl::StatusOr<std::unique_ptr<TlsFiles>> TlsFiles::load(const EdgeTlsFiles &files,
                                                         const Logger &logger)
{
    if (!QSslSocket::supportsSsl())
        return absl::FailedPreconditionError("TLS is not available in this installation of Qt");
    std::unique_ptr<TlsFiles> result(new TlsFiles(files, logger));
    result->m_loadedStamp = result->fileStamp();
    if (absl::Status status = result->reload(); !status.ok())
        return status;
    return result;
}

absl::Status TlsFiles::reload()
{
    const QList<QSslCertificate> chain =
        QSslCertificate::fromPath(QString::fromStdString(m_files.certificate.string()));
    const QSslKey key = readPrivateKey(m_files.key);
    if (chain.isEmpty() || key.isNull() || !keyMatchesCertificate(m_files))
        return absl::InvalidArgumentError(
            fmt::format("'{}' and '{}' are not a certificate and its key in PEM",
                        m_files.certificate.string(), m_files.key.string()));
    QSslConfiguration configuration = QSslConfiguration::defaultConfiguration();
    configuration.setLocalCertificateChain(chain);
    configuration.setPrivateKey(key);
    configuration.setProtocol(QSsl::TlsV1_2OrLater);
    configuration.setPeerVerifyMode(QSslSocket::VerifyNone);
    m_configuration = configuration;
    return absl::OkStatus();
}

std::string TlsFiles::fileStamp() const
{
    std::string result;
    for (const std::filesystem::path &path : { m_files.certificate, m_files.key }) {
        struct stat info
        {
        };
        ::stat(path.c_str(), &info);
        result += fmt::format("{}:{}:{}.{} ", info.st_ino, info.st_size, info.st_mtim.tv_sec,
                              info.st_mtim.tv_nsec);
    }
    return result;
}

QSslConfiguration TlsFiles::currentConfiguration(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (now < m_nextCheck)
        return m_configuration;
    m_nextCheck = now + kCheckInterval;
    const std::string currentStamp = fileStamp();
    if (currentStamp == m_loadedStamp || currentStamp == m_rejectedStamp)
        return m_configuration;
    const absl::Status status = reload();
    if (status.ok()) {
        m_loadedStamp = currentStamp;
        m_logger.info("edge_tls_reloaded", { { "certificate", m_files.certificate.string() } });
    } else {
        m_rejectedStamp = currentStamp;
        m_logger.error("edge_tls_rejected", { { "reason", status.message().data() } });
    }
    return m_configuration;
}

} // namespace shallotlever
