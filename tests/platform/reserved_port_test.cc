#include "platform/reserved_port.h"

#include <sys/wait.h>

#include <catch2/catch.hpp>
#include <list>
#include <set>

namespace lugfork::platform {
namespace {

TEST_CASE("a reserved port is not reserved again", "[reserved_port]") {
  const ReservedPort first;
  SECTION("by this process") {
    const ReservedPort second(first.number());
    CHECK(second.number() != first.number());
    std::list<ReservedPort> many(200);
    std::set<std::uint16_t> numbers{first.number(), second.number()};
    for (const ReservedPort& port : many) {
      numbers.insert(port.number());
    }
    CHECK(numbers.size() == 202);
  }
  SECTION("by another process") {
    const pid_t other = ::fork();
    if (other == 0) {
      _exit(ReservedPort(first.number()).number() == first.number() ? 1 : 0);
    }
    int status = 0;
    REQUIRE(::waitpid(other, &status, 0) == other);
    REQUIRE(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == 0);
  }
}

TEST_CASE("a port is free again after its reservation ends", "[reserved_port]") {
  std::uint16_t number = 0;
  {
    const ReservedPort first;
    number = first.number();
  }
  const ReservedPort second(number);
  CHECK(second.number() == number);
}

TEST_CASE("a port in use on any loopback address is not reserved", "[reserved_port]") {
  std::uint16_t number = 0;
  {
    const ReservedPort first;
    number = first.number();
  }
  const int type = GENERATE(SOCK_STREAM, SOCK_DGRAM);
  const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(INADDR_LOOPBACK + 5);
  name.sin_port = htons(number);
  REQUIRE(::bind(socket, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) == 0);
  const ReservedPort second(number);
  CHECK(second.number() != number);
  ::close(socket);
}

}  // namespace
}  // namespace lugfork::platform
