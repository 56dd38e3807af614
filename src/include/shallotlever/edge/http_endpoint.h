#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "shallotlever/types/fleet.h"

namespace shallotlever {

/// One HTTP request, read completely.
struct EndpointRequest
{
    std::string method;
    /// Without the query.
    std::string path;
    std::string body;
};

struct EndpointResponse
{
    int status = 200;
    /// JSON.
    std::string body = "{}";
};

/// Serves HTTP/1.1 calls of a platform, whose paths and bodies are the handler's matter. One thread
/// with a Qt event loop.
class HttpEndpoint
{
public:
    /// Sends the reply; does nothing if the caller has closed its connection, or on a second call.
    using Respond = std::function<void(const EndpointResponse &)>;
    using Handler = std::function<void(const EndpointRequest &, Respond)>;

    static absl::StatusOr<std::unique_ptr<HttpEndpoint>> create(const Endpoint &listen,
                                                                Handler handler);
    ~HttpEndpoint();
    HttpEndpoint(const HttpEndpoint &) = delete;
    HttpEndpoint &operator=(const HttpEndpoint &) = delete;

private:
    class Impl;
    explicit HttpEndpoint(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace shallotlever
