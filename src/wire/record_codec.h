#pragma once

#include "discovery/platform_records.h"

/**
 * Compact form of platform records, in which balancers keep and pass on what the platform tells:
 * one byte for the form's version, the server's start where there is one, and a msgpack body. A
 * platform's adapter writes it once; it takes a small part of the platform's own text.
 */
namespace lugfork {

/** @param record what the platform's item says, or why it can't be read. */
std::string encodeRecord(const Result<PlatformRecord, RecordProblem>& record);

/**
 * Takes the time of the server's start out of a compact record. What is left has the form that
 * balancers without knowledge of starts read.
 * @return the time [Unix ms]; 0 where the record holds none.
 */
std::uint64_t extractStartTime(std::string& value);

/** Puts a start [Unix ms] that extractStartTime gave back into the record; 0 changes nothing. */
void insertStartTime(std::uint64_t started_ms, std::string& value);

/** Reads what encodeRecord wrote; a server's name is the end of its key. */
class CompactRecordDecoder : public RecordDecoder {
 public:
  Result<PlatformRecord, RecordProblem> decode(const std::string& key,
                                               const std::string& value) const override;
};

}  // namespace lugfork
