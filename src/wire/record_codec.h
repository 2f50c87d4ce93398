#pragma once

#include "discovery/platform_records.h"

/**
 * Compact form of platform records, in which balancers keep and pass on what the platform tells:
 * one byte for the form's version and a msgpack body. A platform's adapter writes it once; it takes
 * a small part of the platform's own text.
 */
namespace lugfork {

/** @param record what the platform's item says, or why it can't be read. */
std::string encodeRecord(const Result<PlatformRecord, RecordProblem>& record);

/** Reads what encodeRecord wrote; a server's name is the end of its key. */
class CompactRecordDecoder : public RecordDecoder {
 public:
  Result<PlatformRecord, RecordProblem> decode(const std::string& key,
                                               const std::string& value) const override;
};

}  // namespace lugfork
