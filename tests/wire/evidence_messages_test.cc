#include "wire/evidence_messages.h"

#include <catch2/catch.hpp>

#include "discovery/evidence_collector.h"
#include "wire/message_codec.h"
#include "wire/view_transfer_codec.h"

namespace lugfork {
namespace {

const PeerKey kKey{};
/** IP and UDP headers. */
constexpr std::size_t kHeaders = 28;

/** A report whose every number takes the most bytes. */
EvidenceReport longestReport() {
  EvidenceReport report{"a-zone-with-a-name", 0xffff, 0xffff, 0xff, {}, {}};
  for (std::size_t server = 0; server < kMaxServersInEvidence; ++server) {
    report.silent.push_back({BackendId(0xffffffff), 0xff, 0xff, 0xfffe, 0xffff});
    report.alive.push_back({BackendId(0xffffffff), 0xffff});
  }
  return report;
}

TEST_CASE("evidence is read as it was written", "[evidence_messages]") {
  const EvidenceReport report{"lac", 7, 2, 3, {{BackendId(5), 1, 2, 30, 400}}, {{BackendId(6), 9}}};
  const auto read = decodeViewMessage(encodeViewMessage(report, kKey), kKey);
  REQUIRE(read);
  auto told = std::get<EvidenceReport>(read.value());
  CHECK(told.fields() == EvidenceReport(report).fields());

  const EvidenceDigest digest{"lac", 3, {{4, {BackendId(5), 1, 2, 30, 400}}}, {{BackendId(6), 9}}};
  const auto digest_read = decodeViewMessage(encodeViewMessage(digest, kKey), kKey);
  REQUIRE(digest_read);
  auto summed = std::get<EvidenceDigest>(digest_read.value());
  CHECK(summed.fields() == EvidenceDigest(digest).fields());
}

TEST_CASE("evidence takes no more bytes than its bounds count", "[evidence_messages]") {
  const EvidenceReport report = longestReport();
  const std::size_t bytes = encodeViewMessage(report, kKey).size() + kHeaders;
  INFO("a report of 24 silent servers and 24 that answer takes " << bytes << " bytes");
  CHECK(bytes <= wireBytesOf(report));
  CHECK(bytes <= kMaxDatagramBytes);
  EvidenceDigest digest{"a-zone-with-a-name", 0xff, {}, report.alive};
  for (const ServerSilence& silent : report.silent) {
    digest.silent.push_back({0xff, silent});
  }
  CHECK(encodeViewMessage(digest, kKey).size() + kHeaders <= wireBytesOf(digest));
}

TEST_CASE("a version that does not know evidence refuses it, and nothing else",
          "[evidence_messages]") {
  using OldMessage = std::variant<ViewRequest, ViewPart, ViewRefusal, PeersRequest, PeersReply>;
  const auto readByOldVersion = [](const ViewMessage& message) {
    const Bytes bytes = message_codec::encodeVariant(message);
    return message_codec::decodeVariant<OldMessage>(bytes.data(), bytes.size());
  };
  CHECK(readByOldVersion(EvidenceReport()).error() == CodecError::UnknownType);
  CHECK(readByOldVersion(EvidenceDigest()).error() == CodecError::UnknownType);
  CHECK(readByOldVersion(PeersReply()));
}

}  // namespace
}  // namespace lugfork
