#include <sodium.h>

#include <array>
#include <iostream>

#include "config/configuration.h"
#include "programs/ctl_commands.h"
#include "runtime/peer_security.h"
#include "runtime/program.h"

namespace lugfork {

namespace {

int printPeerKeys() {
  const PeerKeyPair pair = makePeerKeyPair();
  std::cout << "peer-public-key = '" << pair.public_key << "'\n"
            << "peer-secret-key = '" << pair.secret_key << "'\n";
  return kExitSuccess;
}

int printTokenSecret() {
  std::array<std::uint8_t, kTokenSecretBytes> secret{};
  std::array<char, 2 * kTokenSecretBytes + 1> text{};
  randombytes_buf(secret.data(), secret.size());
  sodium_bin2hex(text.data(), text.size(), secret.data(), secret.size());
  std::cout << text.data() << '\n';
  return kExitSuccess;
}

}  // namespace

void addKeyCommands(CLI::App& app, CommandBody& run) {
  CLI::App* command = app.add_subcommand("generate-key", "generates a random key and prints it");
  command->require_subcommand(1);
  command->add_subcommand("peer", "key pair of the fleet, in the format of the settings file")
      ->callback([&run] { run = printPeerKeys; });
  command->add_subcommand("token", "secret for a token key of the configuration document")
      ->callback([&run] { run = printTokenSecret; });
}

}  // namespace lugfork
