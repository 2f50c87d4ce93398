#pragma once

#include <string>
#include <vector>

namespace lugfork {

/** Length of a CURVE key in its text form (Z85), in characters. */
inline constexpr std::size_t kPeerKeyTextLength = 40;

/**
 * Keys of the peer transport, in Z85 text. Without keys the connections are not encrypted, for
 * tests on one machine. With keys every connection is encrypted and only listed keys are accepted.
 */
struct PeerSecuritySettings {
  /** Key pair of the fleet, the same on all nodes. */
  std::string public_key;
  std::string secret_key;
  /** Further public keys that are accepted while the fleet rotates its key pair. */
  std::vector<std::string> allowed_keys;

  bool enabled() const { return !public_key.empty(); }
};

/** @return an error message, or an empty string if the settings are valid. */
std::string checkPeerSecurity(const PeerSecuritySettings& settings);

/** A CURVE key pair in Z85 text. */
struct PeerKeyPair {
  std::string public_key;
  std::string secret_key;
};

/**
 * @return a new random key pair that needs no quoting in a settings file or on a command line.
 * @throws std::runtime_error if ZeroMQ was built without CURVE.
 */
PeerKeyPair makePeerKeyPair();

}  // namespace lugfork
