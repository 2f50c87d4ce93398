#pragma once

#include <string>
#include <vector>

namespace lugfork {

/** Length of a CURVE key in its text form (Z85), in characters. */
inline constexpr std::size_t kPeerKeyTextLength = 40;

/**
 * Keys of the peer transport, in Z85 text. Without keys peers talk in the clear, for trials on one
 * machine. With keys every connection is encrypted, and only listed peers are let in.
 */
struct PeerSecuritySettings {
  /** Key pair of the fleet, the same on all nodes. */
  std::string public_key;
  std::string secret_key;
  /** Further public keys that are let in, while the fleet changes its key pair. */
  std::vector<std::string> allowed_keys;

  bool enabled() const { return !public_key.empty(); }
};

/** @return what is wrong with the settings, or an empty string. */
std::string checkPeerSecurity(const PeerSecuritySettings& settings);

/** A CURVE key pair in Z85 text. */
struct PeerKeyPair {
  std::string public_key;
  std::string secret_key;
};

/**
 * @return a fresh random key pair that can stand in a settings file or on a command line.
 * @throws std::runtime_error without CURVE in ZeroMQ.
 */
PeerKeyPair makePeerKeyPair();

}  // namespace lugfork
