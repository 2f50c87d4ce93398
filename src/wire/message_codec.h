#pragma once

#include <algorithm>
#include <array>
#include <msgpack.hpp>
#include <optional>
#include <tuple>
#include <type_traits>
#include <variant>

#include "wire/codec_error.h"
#include "wire/datagram.h"

/**
 * Generic msgpack codec for a variant of message structs. A message is the array
 * [type number, fields...]; fields() of a struct defines the order of its fields. Only included by
 * source files of codecs, to keep msgpack out of other headers.
 */
namespace lugfork::message_codec {

template <typename T>
concept HasFields = requires(T value) {
  value.fields();
};

template <typename T>
struct IsStrongId : std::false_type {};
template <typename Tag, typename Value>
struct IsStrongId<StrongId<Tag, Value>> : std::true_type {};

/** Byte string of a fixed size. */
template <typename T>
struct IsByteArray : std::false_type {};
template <std::size_t Size>
struct IsByteArray<std::array<std::uint8_t, Size>> : std::true_type {};

/** Byte string that is stored as a std::string, which saves a copy. */
struct BinaryText {
  std::string text;
};

template <typename T>
struct IsVector : std::false_type {};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {};

/** Structs of a fixed size that are encoded as plain bytes, because thousands of them are sent. */
template <typename T>
concept HasPackedForm = requires {
  T::kPackedBytes;
};

template <typename T>
struct IsPackedVector : std::false_type {};
template <HasPackedForm T>
struct IsPackedVector<std::vector<T>> : std::true_type {};

using Packer = msgpack::packer<msgpack::sbuffer>;

template <typename T>
void packValue(Packer& packer, const T& value) {
  if constexpr (HasFields<T>) {
    auto fields = const_cast<T&>(value).fields();
    packer.pack_array(std::tuple_size_v<decltype(fields)>);
    std::apply([&](const auto&... field) { (packValue(packer, field), ...); }, fields);
  } else if constexpr (IsStrongId<T>::value) {
    packer.pack(value.value());
  } else if constexpr (std::is_enum_v<T>) {
    packer.pack(static_cast<std::underlying_type_t<T>>(value));
  } else if constexpr (std::is_same_v<T, Bytes> || IsByteArray<T>::value) {
    packer.pack_bin(static_cast<std::uint32_t>(value.size()));
    packer.pack_bin_body(reinterpret_cast<const char*>(value.data()),
                         static_cast<std::uint32_t>(value.size()));
  } else if constexpr (std::is_same_v<T, BinaryText>) {
    packer.pack_bin(static_cast<std::uint32_t>(value.text.size()));
    packer.pack_bin_body(value.text.data(), static_cast<std::uint32_t>(value.text.size()));
  } else if constexpr (IsPackedVector<T>::value) {
    Bytes bytes;
    for (const auto& element : value) {
      element.packTo(bytes);
    }
    packValue(packer, bytes);
  } else if constexpr (IsVector<T>::value) {
    packer.pack_array(static_cast<std::uint32_t>(value.size()));
    for (const auto& element : value) {
      packValue(packer, element);
    }
  } else {
    packer.pack(value);
  }
}

template <typename T>
bool unpackValue(const msgpack::object& object, T& value);

/** Structs whose trailing fields are optional; missing ones keep their default. */
template <typename T>
concept HasOptionalFields = requires {
  T::kRequiredFieldCount;
};

/** @return the minimum number of encoded fields of a struct. */
template <typename T>
constexpr std::size_t minFieldCount(std::size_t all) {
  if constexpr (HasOptionalFields<T>) {
    return T::kRequiredFieldCount;
  }
  return all;
}

/** Decodes the fields that are present. */
template <typename Fields, std::size_t... Index>
bool unpackFields(const msgpack::object_array& array, std::size_t offset,
                  [[maybe_unused]] Fields fields, std::index_sequence<Index...>) {
  return ((offset + Index >= array.size ||
           unpackValue(array.ptr[offset + Index], std::get<Index>(fields))) &&
          ...);
}

template <typename T>
bool unpackStruct(const msgpack::object_array& array, std::size_t offset, T& value) {
  auto fields = value.fields();
  constexpr std::size_t kFieldCount = std::tuple_size_v<decltype(fields)>;
  constexpr std::size_t kMinFieldCount = minFieldCount<T>(kFieldCount);
  if (array.size < offset + kMinFieldCount || array.size > offset + kFieldCount) {
    return false;
  }
  return unpackFields(array, offset, fields, std::make_index_sequence<kFieldCount>{});
}

template <typename T>
bool unpackUnsigned(const msgpack::object& object, T& value) {
  if (object.type != msgpack::type::POSITIVE_INTEGER ||
      object.via.u64 > std::numeric_limits<T>::max()) {
    return false;
  }
  value = static_cast<T>(object.via.u64);
  return true;
}

/** Decodes a byte string of consecutive packed elements. */
template <HasPackedForm T>
bool unpackPackedVector(const msgpack::object& object, std::vector<T>& values) {
  if (object.type != msgpack::type::BIN || object.via.bin.size % T::kPackedBytes != 0) {
    return false;
  }
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(object.via.bin.ptr);
  for (std::uint32_t start = 0; start < object.via.bin.size; start += T::kPackedBytes) {
    values.push_back(T::unpack(bytes + start));
  }
  return true;
}

template <typename T>
bool unpackVector(const msgpack::object& object, std::vector<T>& values) {
  if (object.type != msgpack::type::ARRAY) {
    return false;
  }
  values.resize(object.via.array.size);
  for (std::size_t index = 0; index < values.size(); ++index) {
    if (!unpackValue(object.via.array.ptr[index], values[index])) {
      return false;
    }
  }
  return true;
}

template <typename T>
bool unpackValue(const msgpack::object& object, T& value) {
  if constexpr (HasFields<T>) {
    return object.type == msgpack::type::ARRAY && unpackStruct(object.via.array, 0, value);
  } else if constexpr (IsStrongId<T>::value) {
    std::remove_cvref_t<decltype(value.value())> raw{};
    if (!unpackUnsigned(object, raw)) {
      return false;
    }
    value = T(raw);
    return true;
  } else if constexpr (std::is_enum_v<T>) {
    std::underlying_type_t<T> raw{};
    if (!unpackUnsigned(object, raw) || raw > static_cast<std::underlying_type_t<T>>(T::Last)) {
      return false;
    }
    value = static_cast<T>(raw);
    return true;
  } else if constexpr (std::is_same_v<T, bool>) {
    if (object.type != msgpack::type::BOOLEAN) {
      return false;
    }
    value = object.via.boolean;
    return true;
  } else if constexpr (std::is_unsigned_v<T>) {
    return unpackUnsigned(object, value);
  } else if constexpr (std::is_same_v<T, Bytes>) {
    if (object.type != msgpack::type::BIN) {
      return false;
    }
    const auto* first = reinterpret_cast<const std::uint8_t*>(object.via.bin.ptr);
    value.assign(first, first + object.via.bin.size);
    return true;
  } else if constexpr (std::is_same_v<T, BinaryText>) {
    if (object.type != msgpack::type::BIN) {
      return false;
    }
    value.text.assign(object.via.bin.ptr, object.via.bin.size);
    return true;
  } else if constexpr (IsByteArray<T>::value) {
    if (object.type != msgpack::type::BIN || object.via.bin.size != value.size()) {
      return false;
    }
    std::copy_n(object.via.bin.ptr, value.size(), value.begin());
    return true;
  } else if constexpr (IsPackedVector<T>::value) {
    return unpackPackedVector(object, value);
  } else if constexpr (IsVector<T>::value) {
    return unpackVector(object, value);
  } else {
    static_assert(std::is_same_v<T, std::string>, "no codec for this field type");
    if (object.type != msgpack::type::STR) {
      return false;
    }
    value.assign(object.via.str.ptr, object.via.str.size);
    return true;
  }
}

template <typename Variant>
Bytes encodeVariant(const Variant& message) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  std::visit(
      [&](const auto& body) {
        auto fields = const_cast<std::remove_cvref_t<decltype(body)>&>(body).fields();
        packer.pack_array(static_cast<std::uint32_t>(1 + std::tuple_size_v<decltype(fields)>));
        packer.pack(static_cast<std::uint8_t>(message.index()));
        std::apply([&](const auto&... field) { (packValue(packer, field), ...); }, fields);
      },
      message);
  return Bytes(buffer.data(), buffer.data() + buffer.size());
}

/** @return a struct without a type number, encoded as the array of its fields. */
template <typename T>
Bytes encodeStruct(const T& value) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packValue(packer, value);
  return Bytes(buffer.data(), buffer.data() + buffer.size());
}

/**
 * Decodes a struct that encodeStruct encoded.
 * @param consumed set to the encoded size of the struct [bytes]; other data may follow it.
 * @return false if the bytes don't hold such a struct.
 */
template <typename T>
bool decodeStruct(const Bytes& bytes, T& value, std::size_t& consumed) {
  try {
    consumed = 0;
    const msgpack::unpack_limit limits(bytes.size(), 0, bytes.size(), bytes.size(), 0, 8);
    // Strings and bytes are referenced in place.
    const msgpack::object_handle handle = msgpack::unpack(
        reinterpret_cast<const char*>(bytes.data()), bytes.size(), consumed,
        [](msgpack::type::object_type, std::size_t, void*) { return true; }, nullptr, limits);
    return unpackValue(handle.get(), value);
  } catch (const msgpack::unpack_error&) {
    return false;
  }
}

/** Decodes a struct that takes up all of the bytes. */
template <typename T>
bool decodeStruct(const Bytes& bytes, T& value) {
  std::size_t consumed = 0;
  return decodeStruct(bytes, value, consumed) && consumed == bytes.size();
}

template <typename Variant, std::size_t Index = 0>
Result<Variant, CodecError> decodeBody(const msgpack::object_array& array, std::uint64_t type) {
  if constexpr (Index == std::variant_size_v<Variant>) {
    return CodecError::UnknownType;
  } else {
    if (type != Index) {
      return decodeBody<Variant, Index + 1>(array, type);
    }
    std::variant_alternative_t<Index, Variant> body;
    if (!unpackStruct(array, 1, body)) {
      return CodecError::BadField;
    }
    return Variant(std::in_place_index<Index>, std::move(body));
  }
}

template <typename Variant>
Result<Variant, CodecError> decodeVariant(const std::uint8_t* data, std::size_t size) {
  try {
    std::size_t consumed = 0;
    // Strings and bytes are referenced in place. No message of this protocol is nested deeper.
    const msgpack::unpack_limit limits(size, 0, size, size, 0, 8);
    msgpack::zone zone;
    bool referenced = false;
    const msgpack::object object = msgpack::unpack(
        zone, reinterpret_cast<const char*>(data), size, consumed, referenced,
        [](msgpack::type::object_type, std::size_t, void*) { return true; }, nullptr, limits);
    if (consumed != size) {
      return CodecError::TrailingBytes;
    }
    if (object.type != msgpack::type::ARRAY || object.via.array.size == 0 ||
        object.via.array.ptr[0].type != msgpack::type::POSITIVE_INTEGER) {
      return CodecError::Malformed;
    }
    return decodeBody<Variant>(object.via.array, object.via.array.ptr[0].via.u64);
  } catch (const msgpack::unpack_error&) {
    return CodecError::Malformed;
  }
}

}  // namespace lugfork::message_codec
