#include "peer_tls.h"

#include <QFile>
#include <QSslCertificate>
#include <QSslKey>

#include "absl/strings/str_cat.h"

namespace shallotlever {

namespace {

absl::StatusOr<QByteArray> readFile(const std::string &path)
{
    QFile file(QString::fromStdString(path));
    if (!file.open(QIODevice::ReadOnly))
        return absl::NotFoundError(absl::StrCat("cannot read ", path));
    return file.readAll();
}

QSslKey parseKey(const QByteArray &pem)
{
    const QSslKey rsa(pem, QSsl::Rsa);
    return rsa.isNull() ? QSslKey(pem, QSsl::Ec) : rsa;
}

} // namespace

absl::StatusOr<QSslConfiguration> loadPeerTls(const PeerTlsFiles &files)
{
    const auto certificate = readFile(files.certificate);
    const auto key = readFile(files.key);
    const auto authority = readFile(files.authority);
    for (const auto *part : { &certificate, &key, &authority }) {
        if (!part->ok())
            return part->status();
    }
    const QSslKey privateKey = parseKey(*key);
    const QList<QSslCertificate> own = QSslCertificate::fromData(*certificate);
    if (privateKey.isNull() || own.isEmpty())
        return absl::InvalidArgumentError("the peer certificate or its key is not valid PEM");
    QSslConfiguration configuration = QSslConfiguration::defaultConfiguration();
    configuration.setLocalCertificateChain(own);
    configuration.setPrivateKey(privateKey);
    configuration.setCaCertificates(QSslCertificate::fromData(*authority));
    configuration.setPeerVerifyMode(QSslSocket::VerifyPeer);
    configuration.setProtocol(QSsl::TlsV1_2OrLater);
    return configuration;
}

} // namespace shallotlever
