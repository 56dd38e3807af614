#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "shallotlever/base/memory_budget.h"
#include "shallotlever/types/fleet.h"

namespace shallotlever {

/// One complete HTTP request.
struct EndpointRequest
{
    std::string method;
    /// Path without the query string.
    std::string path;
    std::string body;
};

struct EndpointResponse
{
    int status = 200;
    /// JSON document.
    std::string body = "{}";
};

/// HTTP/1.1 server for requests from a platform. The handler interprets paths and bodies. Must be
/// used on a single thread with a Qt event loop.
class HttpEndpoint
{
public:
    /// Sends the response. Has no effect if the client has closed its connection or if the request
    /// has been answered already.
    using Respond = std::function<void(const EndpointResponse &)>;
    using Handler = std::function<void(const EndpointRequest &, Respond)>;

    /// `memory` is charged for requests that are being received.
    static absl::StatusOr<std::unique_ptr<HttpEndpoint>>
    create(const Endpoint &listen, Handler handler,
           std::shared_ptr<MemoryBudget> memory = std::make_shared<MemoryBudget>());
    ~HttpEndpoint();
    HttpEndpoint(const HttpEndpoint &) = delete;
    HttpEndpoint &operator=(const HttpEndpoint &) = delete;

private:
    class Impl;
    explicit HttpEndpoint(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace shallotlever
