#pragma once

#include <optional>
#include <string>
#include <variant>

#include <QByteArray>
#include <QByteArrayView>
#include <QJsonObject>
#include <QList>
#include <QPair>

#include "shallotlever/edge/messages.h"

/// JSON encoding of the caller and operator interface (design page, sections 3.1 to 3.3). All
/// functions are stateless and thread-safe.
namespace shallotlever {

/// A parsed value, or the error to respond with. Errors caused by invalid input name the field.
template <typename T>
using Parsed = std::variant<T, Error>;

using HttpHeaders = QList<QPair<QByteArray, QByteArray>>;

/// Parses the headers of a caller's request; names are case-insensitive. Repeating a header that
/// may occur only once is an error.
Parsed<CallerContext> parseCallerContext(const HttpHeaders &headers, TimePoint receivedAt);

/// Selects the request type by method and path (percent-encoded, without query) and parses its
/// body.
Parsed<EdgeRequest> parseRequest(QByteArrayView method, QByteArrayView path,
                                 const QByteArray &body);

/// Parses the body of POST /v1/operator/changes.
Parsed<ChangeRequest> parseChangeRequest(const QJsonObject &body);
QJsonObject encodeChangeRequest(const ChangeRequest &request);
/// Parses the body of POST /v1/announcements.
Parsed<AnnounceRequest> parseAnnounceRequest(const QJsonObject &body);
QJsonObject encodeAnnouncement(const Announcement &announcement);

/// Parses one change: {"op":"put_team",...}.
Parsed<Change> parseChange(const QJsonObject &object);
QJsonObject encodeChange(const Change &change);

// Encode one configuration object in the format of the change that creates it. encodeKey omits the
// key hash unless `includeHash` is set.
QJsonObject encodeTeam(const TeamConfig &team);
QJsonObject encodeKey(const KeyConfig &key, bool includeHash);
QJsonObject encodeRoute(const RouteConfig &route);
QJsonObject encodePreset(const PresetConfig &preset);

/// A response ready to be sent, without the headers that frame it.
struct HttpResponse
{
    int status = 200;
    /// Content-Type and, where applicable, Shallotlever-Session and Retry-After.
    HttpHeaders headers;
    QByteArray body;
};

/// `openRoute` adds the field `degraded`, which only responses of open routes have.
HttpResponse encodeResponse(const EdgeResponse &response, bool openRoute);
HttpResponse encodeError(const Error &error);
/// The error kind counted in the metrics for a response: the kind of an error or of a rejected
/// change, nullopt for a success.
std::optional<ErrorKind> responseErrorKind(const EdgeResponse &response);

} // namespace shallotlever
