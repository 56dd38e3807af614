#include "http_response.h"

namespace shallotlever {

namespace {

const char *reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 413:
        return "Content Too Large";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Internal Server Error";
    }
}

} // namespace

QByteArray serializeResponse(const HttpResponse &response, bool keepAlive, bool withBody)
{
    QByteArray text = "HTTP/1.1 " + QByteArray::number(response.status) + ' '
        + reasonPhrase(response.status) + "\r\n";
    for (const auto &[name, value] : response.headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + QByteArray::number(response.body.size()) + "\r\n";
    text += keepAlive ? "Connection: keep-alive\r\n\r\n" : "Connection: close\r\n\r\n";
    if (withBody)
        text += response.body;
    return text;
}

} // namespace shallotlever
