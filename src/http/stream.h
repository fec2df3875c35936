// An incremental parser for HTTP/1.1 replies with endless or large bodies. It keeps the head and at most one
// line of framing; body bytes are passed on as they are received.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/message.h"

namespace pearspar::http {

// Parses consecutive replies of one connection.
class ReplyStream {
 public:
  // Receives a piece of the body. Returning false makes advance() fail.
  using BodySink = std::function<bool(std::string_view piece)>;

  // Consumes the buffer. Returns `done` once the framing says that the body is complete.
  Progress advance(net::Buffer& buffer, const BodySink& sink);
  // To be called when the connection has ended: `done` if that ends the body (RFC 9112, 6.3), else `failed`.
  Progress ended();
  // After `done`: prepares for the next reply on the connection.
  void next() { *this = ReplyStream(); }

  // Whether the head has been parsed.
  bool head_in() const { return stage_ != Stage::head && status_ != 0; }
  int status() const { return status_; }
  bool keep_alive() const { return keep_alive_; }
  // The value of the header with this name, in any case; empty if there is none.
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
  std::size_t left_ = 0;     // remaining bytes of the body or the chunk
  std::size_t trailer_ = 0;  // bytes of trailers so far
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string failure_reason_;
};

}  // namespace pearspar::http
