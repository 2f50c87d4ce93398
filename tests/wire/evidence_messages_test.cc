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
  for (std::size_t server = 0; server < kMaxBackendsInEvidence; ++server) {
    report.silent.push_back({BackendId(0xffffffff), 0xff, 0xff, 0xfffe, 0xffff});
    report.alive.push_back({BackendId(0xffffffff), 0xffff});
  }
  return report;
}

TEST_CASE("evidence is read as it was written", "[evidence_messages]") {
  const EvidenceReport report{
      "lac", 7, 2, 3, {{BackendId(0xfedcba98), 1, 2, 30, 400}}, {{BackendId(6), 90}}};
  const auto read = decodeViewMessage(encodeViewMessage(report, kKey), kKey);
  REQUIRE(read);
  auto told = std::get<EvidenceReport>(read.value());
  CHECK(told.fields() == EvidenceReport(report).fields());

  const EvidenceDigest digest{
      "lac", 3, {{4, {BackendId(0xfedcba98), 1, 2, 30, 400}}}, {{BackendId(6), 90}}};
  const auto digest_read = decodeViewMessage(encodeViewMessage(digest, kKey), kKey);
  REQUIRE(digest_read);
  auto summed = std::get<EvidenceDigest>(digest_read.value());
  CHECK(summed.fields() == EvidenceDigest(digest).fields());
}

TEST_CASE("counts and ages that do not fit go as the most that does", "[evidence_messages]") {
  const EvidenceReport report{"lac",
                              0,
                              0,
                              0,
                              {{BackendId(5), 99, 20, 9999, 60000}, {BackendId(6), 1, 0, 19, 39}},
                              {{BackendId(7), kNeverMs}}};
  const auto read = decodeViewMessage(encodeViewMessage(report, kKey), kKey);
  REQUIRE(read);
  const auto& told = std::get<EvidenceReport>(read.value());
  CHECK(told.silent == std::vector<BackendSilence>{{BackendId(5), 15, 15, 2540, 5080},
                                                   {BackendId(6), 1, 0, 10, 20}});
  CHECK(told.alive == std::vector<BackendLiveness>{{BackendId(7), kNeverMs}});
}

TEST_CASE("a list that is cut is refused", "[evidence_messages]") {
  Bytes bytes = message_codec::encodeVariant(
      ViewMessage(EvidenceReport{"lac", 1, 1, 0, {{BackendId(5), 1, 0, 10, 20}}, {}}));
  // The list of silent servers ends before the last two bytes, which are an empty list.
  const std::size_t size_at = bytes.size() - 2 - BackendSilence::kPackedBytes - 1;
  REQUIRE(bytes[size_at] == BackendSilence::kPackedBytes);
  bytes[size_at] = BackendSilence::kPackedBytes - 1;
  bytes.erase(bytes.end() - 3);
  const auto read = message_codec::decodeVariant<ViewMessage>(bytes.data(), bytes.size());
  REQUIRE_FALSE(read);
  CHECK(read.error() == CodecError::BadField);
}

TEST_CASE("evidence takes no more bytes than its bounds count", "[evidence_messages]") {
  const EvidenceReport report = longestReport();
  const std::size_t bytes = encodeViewMessage(report, kKey).size() + kHeaders;
  INFO("a report of 48 silent servers and 48 that answer takes " << bytes << " bytes");
  CHECK(bytes <= wireBytesOf(report));
  CHECK(bytes <= kMaxDatagramBytes);
  EvidenceDigest digest{"a-zone-with-a-name", 0xff, {}, report.alive};
  for (const BackendSilence& silent : report.silent) {
    digest.silent.push_back({0xff, silent});
  }
  CHECK(encodeViewMessage(digest, kKey).size() + kHeaders <= wireBytesOf(digest));
}

TEST_CASE("a version that does not know evidence refuses it, and nothing else",
          "[evidence_messages]") {
  using OldMessage = std::variant<ViewRequest, ViewPart, ViewRefusal, PeersRequest, PeersReply>;
  const auto read_by_old_version = [](const ViewMessage& message) {
    const Bytes bytes = message_codec::encodeVariant(message);
    return message_codec::decodeVariant<OldMessage>(bytes.data(), bytes.size());
  };
  CHECK(read_by_old_version(EvidenceReport()).error() == CodecError::UnknownType);
  CHECK(read_by_old_version(EvidenceDigest()).error() == CodecError::UnknownType);
  CHECK(read_by_old_version(PeersReply()));
}

}  // namespace
}  // namespace lugfork
