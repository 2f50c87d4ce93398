#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <optional>
#include <string>

#include "common/ids.h"

namespace lugfork::soak {

/** Result of a request on a persistent connection. */
enum class RequestResult {
  /** A complete response was received. */
  Answered,
  /** No byte was received: the connection was closed before the response, or refused. */
  Closed,
  /** The response was truncated. */
  Truncated,
};

/** A persistent HTTP connection, used until the server closes it. */
class OpenConnection {
 public:
  explicit OpenConnection(Endpoint server) : server_(server) {}
  ~OpenConnection() { close(); }
  OpenConnection(const OpenConnection&) = delete;
  OpenConnection& operator=(const OpenConnection&) = delete;

  /** Sends a request; connects first if there is no connection. */
  RequestResult sendRequest(const std::string& path) {
    if (socket_ < 0 && !connect()) {
      return RequestResult::Closed;
    }
    const std::string request =
        "GET " + path + " HTTP/1.1\r\nHost: balancer\r\nConnection: keep-alive\r\n\r\n";
    const auto sent = ::send(socket_, request.data(), request.size(), MSG_NOSIGNAL);
    if (sent != static_cast<ssize_t>(request.size())) {
      close();
      return RequestResult::Closed;
    }
    return receiveAnswer();
  }

 private:
  static constexpr timeval kReceiveTimeout{3, 0};
  static constexpr std::size_t kReadBytes = 4096;

  bool connect() {
    socket_ = ::socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &kReceiveTimeout, sizeof(kReceiveTimeout));
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(server_.address);
    name.sin_port = htons(server_.port);
    if (::connect(socket_, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) == 0) {
      return true;
    }
    close();
    return false;
  }

  RequestResult receiveAnswer() {
    std::string answer;
    std::array<char, kReadBytes> chunk{};
    while (true) {
      if (const auto end = endOfAnswer(answer)) {
        if (answer.size() >= *end) {
          closeIfRequested(answer);
          return RequestResult::Answered;
        }
      }
      const auto received = ::recv(socket_, chunk.data(), chunk.size(), 0);
      if (received <= 0) {
        close();
        return answer.empty() ? RequestResult::Closed : RequestResult::Truncated;
      }
      answer.append(chunk.data(), static_cast<std::size_t>(received));
    }
  }

  /** @return offset of the response's end; nothing until its header is complete. */
  static std::optional<std::size_t> endOfAnswer(const std::string& answer) {
    const std::size_t head_end = answer.find("\r\n\r\n");
    if (head_end == std::string::npos) {
      return std::nullopt;
    }
    static const std::string kLength = "Content-Length: ";
    const std::size_t length = answer.find(kLength);
    const std::size_t body_bytes =
        length < head_end ? std::stoul(answer.substr(length + kLength.size())) : 0;
    return head_end + 4 + body_bytes;
  }

  void closeIfRequested(const std::string& answer) {
    if (answer.find("Connection: close") != std::string::npos) {
      close();
    }
  }

  void close() {
    if (socket_ >= 0) {
      ::close(socket_);
      socket_ = -1;
    }
  }

  const Endpoint server_;
  int socket_ = -1;
};

}  // namespace lugfork::soak
