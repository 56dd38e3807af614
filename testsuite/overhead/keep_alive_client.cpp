#include "keep_alive_client.h"

#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace shallotlever::overhead {

KeepAliveClient::KeepAliveClient(std::uint16_t port)
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0)
        throw std::runtime_error("cannot connect to the node");
}

KeepAliveClient::~KeepAliveClient()
{
    close(m_socket);
}

KeepAliveReply KeepAliveClient::post(const std::string &path, const std::string &bearer,
                                     const std::string &body)
{
    const std::string request = "POST " + path
        + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Type: application/json\r\n"
          "Authorization: Bearer "
        + bearer + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (send(m_socket, request.data(), request.size(), MSG_NOSIGNAL)
        != static_cast<ssize_t>(request.size()))
        throw std::runtime_error("cannot send the request");
    return readReply();
}

KeepAliveReply KeepAliveClient::readReply()
{
    char chunk[16 * 1024];
    for (;;) {
        const std::size_t headerEnd = m_buffer.find("\r\n\r\n");
        if (headerEnd != std::string::npos) {
            std::string header = m_buffer.substr(0, headerEnd);
            for (char &c : header)
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            const std::size_t field = header.find("content-length:");
            const std::size_t length =
                field == std::string::npos ? 0 : std::stoul(header.substr(field + 15));
            if (m_buffer.size() >= headerEnd + 4 + length) {
                KeepAliveReply reply { std::stoi(header.substr(9, 3)),
                                       m_buffer.substr(headerEnd + 4, length) };
                m_buffer.erase(0, headerEnd + 4 + length);
                return reply;
            }
        }
        const ssize_t received = recv(m_socket, chunk, sizeof(chunk), 0);
        if (received <= 0)
            throw std::runtime_error("the node closed the connection");
        m_buffer.append(chunk, static_cast<std::size_t>(received));
    }
}

} // namespace shallotlever::overhead
