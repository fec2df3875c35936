// Replies whose bodies are read as they come: a stream that never ends by itself, or one too large to be kept
// whole. The reader keeps the head and at most one framing line; body bytes go to the caller piece by piece.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/message.h"

namespace pearspar::http {

class ReplyStream {
 public:
  // Takes a piece of the body; false ends the reading (advance() then says `failed`).
  using BodySink = std::function<bool(std::string_view piece)>;

  // Uses up what the buffer holds. `done` once the body has ended by its framing.
  Progress advance(net::Buffer& buffer, const BodySink& take);
  // The connection has ended: `done` where that is what ends the body (RFC 9112, 6.3), else `failed`.
  Progress ended();
  // After `done`: makes ready for the next reply on the connection.
  void next() { *this = ReplyStream(); }

  bool head_in() const { return stage_ != Stage::head && status_ != 0; }
  int status() const { return status_; }
  bool keep_alive() const { return keep_alive_; }
  // The header's value, empty where there is none. Names without regard to case.
  std::string_view header(std::string_view name) const;
  const std::string& failure_reason() const { return failure_reason_; }

 private:
  enum class Stage { head, counted, chunk_size, chunk, chunk_end, trailer, until_close, done, failed };
  Progress fail(std::string why);
  Progress read_head(std::string_view head);
  Progress read_line(std::string_view line);

  Stage stage_ = Stage::head;
  int status_ = 0;
  bool keep_alive_ = true;
  std::size_t left_ = 0;     // bytes of the body, or of the chunk
  std::size_t trailer_ = 0;  // bytes of trailers
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string failure_reason_;
};

}  // namespace pearspar::http
