#pragma once

#include "discovery/platform_records.h"

/**
 * Compact encoding of platform records, in which balancers store and relay the platform's items:
 * one format byte, the start time of the backend if there is one, and a msgpack body. The platform
 * adapter encodes an item once; the result is a fraction of the size of the platform's own text.
 */
namespace lugfork {

/** @param record the decoded item, or the reason for which it can't be decoded. */
std::string encodeRecord(const Result<PlatformRecord, RecordProblem>& record);

/**
 * Removes the start time of the backend from a compact record. The rest has the format that
 * balancers without support for start times can decode.
 * @return the start time [Unix ms]; 0 if the record has none.
 */
std::uint64_t extractStartTime(std::string& value);

/** Inserts a start time [Unix ms] that extractStartTime returned; 0 changes nothing. */
void insertStartTime(std::uint64_t started_ms, std::string& value);

/** Decodes records that encodeRecord encoded; the name of a backend is the last part of its key. */
class CompactRecordDecoder : public RecordDecoder {
 public:
  Result<PlatformRecord, RecordProblem> decode(const std::string& key,
                                               const std::string& value) const override;
};

}  // namespace lugfork
