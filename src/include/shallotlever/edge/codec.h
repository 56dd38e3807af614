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

/// JSON of the caller and operator interface (design page, sections 3.1 to 3.3). Free functions
/// without state; callable from any thread.
namespace shallotlever {

/// A parsed value, or the error to answer. Errors of bad input name the field.
template <typename T>
using Parsed = std::variant<T, Error>;

using HttpHeaders = QList<QPair<QByteArray, QByteArray>>;

/// Reads the caller's headers; names are compared without case. A header that may occur once only
/// and is repeated is refused.
Parsed<CallerContext> parseCallerContext(const HttpHeaders &headers, TimePoint receivedAt);

/// Chooses the request by method and path (percent-encoded, without query) and reads its body.
Parsed<EdgeRequest> parseRequest(QByteArrayView method, QByteArrayView path,
                                 const QByteArray &body);

/// Body of POST /v1/operator/changes.
Parsed<ChangeRequest> parseChangeRequest(const QJsonObject &body);
QJsonObject encodeChangeRequest(const ChangeRequest &request);
/// Body of POST /v1/announcements.
Parsed<AnnounceRequest> parseAnnounceRequest(const QJsonObject &body);
QJsonObject encodeAnnouncement(const Announcement &announcement);

/// Fields of one change: {"op":"put_team",...}.
Parsed<Change> parseChange(const QJsonObject &object);
QJsonObject encodeChange(const Change &change);

// One object of the configuration, as in the change that puts it. Key hashes are left out of
// encodeKey unless asked for.
QJsonObject encodeTeam(const TeamConfig &team);
QJsonObject encodeKey(const KeyConfig &key, bool includeHash);
QJsonObject encodeRoute(const RouteConfig &route);
QJsonObject encodePreset(const PresetConfig &preset);

/// An answer ready to be sent, without the framing headers.
struct HttpResponse
{
    int status = 200;
    /// Content-Type, and where they apply Shallotlever-Session and Retry-After.
    HttpHeaders headers;
    QByteArray body;
};

/// `openRoute` adds the field `degraded`, which only answers of open routes have.
HttpResponse encodeResponse(const EdgeResponse &response, bool openRoute);
HttpResponse encodeError(const Error &error);
/// The kind that is counted for an answer: that of an error, or of a change not accepted.
std::optional<ErrorKind> errorKindOf(const EdgeResponse &response);

} // namespace shallotlever
