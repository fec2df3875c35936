// Cuts a stream of bytes into JSON objects, and leaves out texts that are longer than is wanted, before
// either takes any memory: a value of ten megabytes costs one mark instead of its connection, again and
// again.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace pearspar::registry {

struct FramerLimits {
  std::size_t text = 96 * 1024;    // bytes of one text as it is written
  std::size_t message = 4u << 20;  // bytes of one object, long texts left out
  // Values in one object: read, each takes some hundred bytes, however few it has on the wire.
  std::size_t values = 100'000;
};

class Framer {
 public:
  // Stands in place of a text that was too long; no base64.
  static constexpr char left_out_mark = '!';

  // `list`: the objects are the items of one array.
  explicit Framer(const FramerLimits& limits, bool list = false) : limits_(limits), list_(list) {}

  enum class Result { fine, stopped, malformed, too_large };
  // Hands each whole object to `take`, which may say false to end it there.
  Result feed(std::string_view piece, const std::function<bool(std::string_view object)>& take);
  bool between() const { return depth_ == 0; }
  bool whole_list() const { return depth_ == 0 && closed_; }

 private:
  FramerLimits limits_;
  bool list_;
  bool opened_ = false;
  bool closed_ = false;
  std::string object_;
  int depth_ = 0;
  std::size_t values_ = 0;
  bool in_text_ = false;
  bool escape_ = false;
  bool left_out_ = false;
  std::size_t text_start_ = 0;
};

}  // namespace pearspar::registry
