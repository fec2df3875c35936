#include "registry/framer.h"

namespace pearspar::registry {

Framer::Result Framer::feed(std::string_view piece,
                            const std::function<bool(std::string_view object)>& take) {
  for (char c : piece) {
    if (depth_ == 0) {
      if (c == ' ' || c == '\n' || c == '\r' || c == '\t') continue;
      if (list_) {
        if (closed_ || (c == '[') == opened_) return Result::malformed;
        opened_ = true;
        closed_ = c == ']';
        if (c == '[' || c == ']' || c == ',') continue;
      }
      if (c != '{') return Result::malformed;
      object_.clear();
      values_ = 0;
    }
    if (in_text_) {
      if (escape_) {
        escape_ = false;
      } else if (c == '\\') {
        escape_ = true;
      } else if (c == '"') {
        in_text_ = false;
      }
      if (in_text_ && left_out_) continue;
      if (in_text_ && object_.size() - text_start_ >= limits_.text) {
        object_.resize(text_start_);
        object_.push_back(left_out_mark);
        left_out_ = true;
        continue;
      }
      object_.push_back(c);
      if (!in_text_) left_out_ = false;
      continue;
    }
    if (object_.size() >= limits_.message) return Result::too_large;
    if ((c == ',' || c == '{' || c == '[') && ++values_ > limits_.values) return Result::too_large;
    object_.push_back(c);
    if (c == '"') {
      in_text_ = true;
      text_start_ = object_.size();
    } else if (c == '{' || c == '[') {
      ++depth_;
    } else if (c == '}' || c == ']') {
      if (--depth_ > 0) continue;
      bool go_on = take(object_);
      if (object_.capacity() > 64 * 1024) std::string().swap(object_);
      if (!go_on) return Result::stopped;
    }
  }
  return Result::fine;
}

}  // namespace pearspar::registry
