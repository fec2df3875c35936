// Writing and reading of msgpack values in a fixed order, on top of msgpack-c.
#pragma once

#include <msgpack.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace pearspar::protocol {

class Packer {
 public:
  Packer();
  Packer(const Packer&) = delete;

  void array(std::size_t size);
  void number(std::uint64_t value);
  void real(double value);
  void flag(bool value);
  void text(std::string_view value);
  std::string_view view() const { return buffer_; }

 private:
  static int append(void* packer, const char* bytes, std::size_t size);

  std::string buffer_;
  msgpack_packer packer_;
};

// Reads untrusted bytes value by value. After the first value that is missing or has another type than the
// one asked for, good() is false and all further values read as zero or empty.
class Unpacker {
 public:
  // The bytes must hold exactly one array, and must outlive the reader.
  explicit Unpacker(std::string_view bytes);
  ~Unpacker();
  Unpacker(const Unpacker&) = delete;

  bool good() const { return good_; }
  // Whether all reads succeeded and the outermost array has been read to its end.
  bool at_end() const { return good_ && depth_ == 1 && next_[0] == arrays_[0].size; }

  std::uint64_t number();
  double real();
  bool flag();
  std::string text();
  // Whether the current array has another element. Fields that were added later are optional: an older
  // program does not send them.
  bool more() const { return good_ && next_[depth_ - 1] < arrays_[depth_ - 1].size; }
  // Enters a nested array of at most `max_size` elements and returns its size.
  std::size_t enter(std::size_t max_size);
  // Returns to the enclosing array. Elements that were not read, the fields of a newer program, are skipped.
  void leave();
  // Marks the input as bad: for a value that is well-formed but not valid.
  void fail() { good_ = false; }

 private:
  const msgpack_object* next();

  static constexpr int max_depth = 8;
  msgpack_unpacked unpacked_;
  bool good_ = false;
  int depth_ = 0;
  msgpack_object_array arrays_[max_depth];
  std::uint32_t next_[max_depth];
};

}  // namespace pearspar::protocol
