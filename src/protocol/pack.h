// msgpack-c behind two small classes: values go in and come out in one order, and what was packed by somebody
// else is checked piece by piece. A reader that meets anything but what it was asked for is bad from there on
// and gives zeros.
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

class Unpacker {
 public:
  // The bytes must hold one array and nothing behind it. They outlive the reader.
  explicit Unpacker(std::string_view bytes);
  ~Unpacker();
  Unpacker(const Unpacker&) = delete;

  bool good() const { return good_; }
  // Everything asked for was there, and no more.
  bool whole() const { return good_ && depth_ == 1 && at_[0] == arrays_[0].size; }

  std::uint64_t number();
  double real();
  bool flag();
  std::string text();
  // Whether the array that it stands in holds more: a field that an older program did not send.
  bool more() const { return good_ && at_[depth_ - 1] < arrays_[depth_ - 1].size; }
  // Steps into an array, `most` long at the most; out again with leave(), which passes over what a newer
  // program put behind the fields that we know.
  std::size_t enter(std::size_t most);
  void leave();
  // For a value that reads and means nothing here.
  void refuse() { spoil(); }

 private:
  const msgpack_object* next();
  void spoil() { good_ = false; }

  static constexpr int max_depth = 8;
  msgpack_unpacked unpacked_;
  bool good_ = false;
  int depth_ = 0;
  msgpack_object_array arrays_[max_depth];
  std::uint32_t at_[max_depth];
};

}  // namespace pearspar::protocol
