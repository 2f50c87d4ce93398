#include "wire/evidence_messages.h"

#include <catch2/catch.hpp>

#include "discovery/evidence_collector.h"
#include "wire/message_codec.h"
#include "wire/view_transfer_codec.h"

namespace lugfork {
namespace {

const PeerKey kKey{};
/** Size of the IP and UDP headers. */
constexpr std::size_t kIpUdpHeaderBytes = 28;

/** A report in which every number has its maximum encoded size. */
EvidenceReport maxSizeReport() {
  EvidenceReport report{"a-zone-with-a-name", 0xffff, 0xffff, 0xff, {}, {}};
  for (std::size_t index = 0; index < kMaxBackendsInEvidence; ++index) {
    report.silent.push_back({BackendId(0xffffffff), 0xff, 0xff, 0xfffe, 0xffff});
    report.alive.push_back({BackendId(0xffffffff), 0xffff});
  }
  return report;
}

TEST_CASE("evidence messages are encoded and decoded without loss", "[evidence_messages]") {
  const EvidenceReport report{
      "lac", 7, 2, 3, {{BackendId(0xfedcba98), 1, 2, 30, 400}}, {{BackendId(6), 90}}};
  const auto decoded = decodeViewMessage(encodeViewMessage(report, kKey), kKey);
  REQUIRE(decoded);
  auto decoded_report = std::get<EvidenceReport>(decoded.value());
  CHECK(decoded_report.fields() == EvidenceReport(report).fields());

  const EvidenceDigest digest{
      "lac", 3, {{4, {BackendId(0xfedcba98), 1, 2, 30, 400}}}, {{BackendId(6), 90}}};
  const auto decoded_message = decodeViewMessage(encodeViewMessage(digest, kKey), kKey);
  REQUIRE(decoded_message);
  auto decoded_digest = std::get<EvidenceDigest>(decoded_message.value());
  CHECK(decoded_digest.fields() == EvidenceDigest(digest).fields());
}

TEST_CASE("counts and ages above the encodable range are clamped to its maximum",
          "[evidence_messages]") {
  const EvidenceReport report{"lac",
                              0,
                              0,
                              0,
                              {{BackendId(5), 99, 20, 9999, 60000}, {BackendId(6), 1, 0, 19, 39}},
                              {{BackendId(7), kNeverMs}}};
  const auto decoded = decodeViewMessage(encodeViewMessage(report, kKey), kKey);
  REQUIRE(decoded);
  const auto& decoded_report = std::get<EvidenceReport>(decoded.value());
  CHECK(decoded_report.silent == std::vector<BackendSilence>{{BackendId(5), 15, 15, 2540, 5080},
                                                             {BackendId(6), 1, 0, 10, 20}});
  CHECK(decoded_report.alive == std::vector<BackendLiveness>{{BackendId(7), kNeverMs}});
}

TEST_CASE("a truncated list is rejected", "[evidence_messages]") {
  Bytes bytes = message_codec::encodeVariant(
      ViewMessage(EvidenceReport{"lac", 1, 1, 0, {{BackendId(5), 1, 0, 10, 20}}, {}}));
  // The list of silent backends is followed by two bytes, an empty list.
  const std::size_t size_offset = bytes.size() - 2 - BackendSilence::kPackedBytes - 1;
  REQUIRE(bytes[size_offset] == BackendSilence::kPackedBytes);
  bytes[size_offset] = BackendSilence::kPackedBytes - 1;
  bytes.erase(bytes.end() - 3);
  const auto decoded = message_codec::decodeVariant<ViewMessage>(bytes.data(), bytes.size());
  REQUIRE_FALSE(decoded);
  CHECK(decoded.error() == CodecError::BadField);
}

TEST_CASE("encoded evidence is no larger than the size computed by wireBytesOf",
          "[evidence_messages]") {
  const EvidenceReport report = maxSizeReport();
  const std::size_t bytes = encodeViewMessage(report, kKey).size() + kIpUdpHeaderBytes;
  INFO("a report of 48 silent and 48 live backends takes " << bytes << " bytes");
  CHECK(bytes <= wireBytesOf(report));
  CHECK(bytes <= kMaxDatagramBytes);
  EvidenceDigest digest{"a-zone-with-a-name", 0xff, {}, report.alive};
  for (const BackendSilence& silent : report.silent) {
    digest.silent.push_back({0xff, silent});
  }
  CHECK(encodeViewMessage(digest, kKey).size() + kIpUdpHeaderBytes <= wireBytesOf(digest));
}

TEST_CASE("a version without evidence messages rejects these messages only",
          "[evidence_messages]") {
  using OldViewMessage = std::variant<ViewRequest, ViewPart, ViewRefusal, PeersRequest, PeersReply>;
  const auto decode_as_old_version = [](const ViewMessage& message) {
    const Bytes bytes = message_codec::encodeVariant(message);
    return message_codec::decodeVariant<OldViewMessage>(bytes.data(), bytes.size());
  };
  CHECK(decode_as_old_version(EvidenceReport()).error() == CodecError::UnknownType);
  CHECK(decode_as_old_version(EvidenceDigest()).error() == CodecError::UnknownType);
  CHECK(decode_as_old_version(PeersReply()));
}

}  // namespace
}  // namespace lugfork
