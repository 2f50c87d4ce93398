#include "runtime/peer_security.h"

#include <zmq.h>

#include <array>
#include <cctype>
#include <stdexcept>

namespace lugfork {

namespace {

constexpr std::size_t kKeyBytes = 32;

bool isKey(const std::string& text) {
  std::array<std::uint8_t, kKeyBytes> key{};
  return text.size() == kPeerKeyTextLength && zmq_z85_decode(key.data(), text.c_str()) != nullptr;
}

/** @return false for "-" or "[", among others, which would be parsed as a flag or a list. */
bool startsPlainly(char first) {
  return std::isalnum(static_cast<unsigned char>(first)) != 0;
}

}  // namespace

std::string checkPeerSecurity(const PeerSecuritySettings& settings) {
  if (settings.public_key.empty() != settings.secret_key.empty()) {
    return "peer-public-key and peer-secret-key must be given together";
  }
  if (!settings.enabled()) {
    return settings.allowed_keys.empty() ? "" : "peer-allowed-key needs peer-public-key";
  }
  std::array<char, kPeerKeyTextLength + 1> derived{};
  if (!isKey(settings.secret_key) ||
      zmq_curve_public(derived.data(), settings.secret_key.c_str()) != 0) {
    return "peer-secret-key must be a CURVE key of 40 characters (Z85)";
  }
  if (settings.public_key != derived.data()) {
    return "peer-public-key must be the public key of peer-secret-key";
  }
  for (const std::string& key : settings.allowed_keys) {
    if (!isKey(key)) {
      return "peer-allowed-key must be a CURVE key of 40 characters (Z85), got \"" + key + "\"";
    }
  }
  return "";
}

PeerKeyPair makePeerKeyPair() {
  std::array<char, kPeerKeyTextLength + 1> public_key{};
  std::array<char, kPeerKeyTextLength + 1> secret_key{};
  do {
    if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0) {
      throw std::runtime_error("ZeroMQ was built without CURVE");
    }
  } while (!startsPlainly(public_key.front()) || !startsPlainly(secret_key.front()));
  return {public_key.data(), secret_key.data()};
}

}  // namespace lugfork
