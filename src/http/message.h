// HTTP/1.1 messages read in place, from requests and replies alike. A body has a length or comes in chunks,
// which are joined where they lie.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/buffer.h"

namespace pearspar::http {

inline constexpr std::size_t max_head = 16 * 1024;
inline constexpr std::size_t max_body = 64 * 1024;
inline constexpr std::size_t max_headers = 100;
// Bytes of chunk sizes and trailers in one message; more, where a larger body may come in the smallest
// chunks.
inline constexpr std::size_t max_framing = 512 * 1024;

// How much of a message is taken; what is larger is refused before it is read.
struct MessageLimits {
  std::size_t head = max_head;
  std::size_t body = max_body;
  std::size_t lines = max_headers;  // of a head
};

enum class MessageKind { request, reply };
enum class Progress { more, done, failed };

bool equals_ignoring_case(std::string_view a, std::string_view b);  // without regard to case

struct Message {
  std::string_view method;  // of a request
  std::string_view target;
  int status = 0;  // of a reply
  bool keep_alive = true;
  bool wants_continue = false;
  std::vector<std::pair<std::string_view, std::string_view>> headers;
  std::string_view body;
  std::optional<std::size_t> length;  // Content-Length, where it is named

  // The first header of that name, or nothing.
  std::optional<std::string_view> header(std::string_view name) const;
};

// Reads one message after the other from the front of a buffer. The slices of message() hold until next().
class MessageReader {
 public:
  explicit MessageReader(MessageKind kind, MessageLimits limits = {}) : kind_(kind), limits_(limits) {}

  // To be called whenever the buffer has grown; looks at no byte of a head or a chunk twice.
  Progress advance(net::Buffer& buffer);
  // After `done`: drops the message from the buffer and starts on the next.
  void next(net::Buffer& buffer);
  // Replies from here on answer a HEAD, or no more: then none has a body, whatever length it names.
  void expect_no_body(bool yes) { no_body_ = yes; }

  // A reply may have no length and end with its connection; else such a one is refused.
  void allow_unframed_body() { unframed_allowed_ = true; }
  // Its connection has ended in good order: `done` where that is the message's end.
  Progress ended(net::Buffer& buffer);

  const Message& message() const { return message_; }
  bool begun(const net::Buffer& buffer) const { return stage_ != Stage::head || buffer.size() > 0; }
  // The head is in, the body is not, and the client waits for a word before it sends it.
  bool take_continue_request();

  // Of a request whose first line is in, also after `failed`.
  bool is_head_request() const { return is_head_request_; }

  // After `failed`: what a client is to be told.
  int failure_status() const { return failure_status_; }
  const std::string& failure_reason() const { return failure_reason_; }

 private:
  enum class Stage { head, body, unframed, chunk_size, chunk, chunk_end, trailer, done, failed };

  Progress fail(int status, std::string why);
  bool refuse(int status, const char* why);  // fails; always false
  Progress read_head(net::Buffer& buffer);
  bool parse_head(std::string_view head);
  bool parse_start(std::string_view line);
  bool parse_header(std::string_view line);
  bool settle_framing();
  Progress read_chunks(net::Buffer& buffer);
  Progress read_chunk_lines(net::Buffer& buffer);
  Progress finish(net::Buffer& buffer);

  MessageKind kind_;
  MessageLimits limits_;
  Stage stage_ = Stage::head;
  std::size_t scanned_ = 0;    // bytes in which no end of the head was found
  std::size_t head_size_ = 0;  // its empty line included
  std::size_t body_size_ = 0;
  std::size_t at_ = 0;       // chunks: how far they were read
  std::size_t framing_ = 0;  // bytes that were no body
  std::size_t chunk_left_ = 0;
  bool chunked_ = false;
  bool continue_owed_ = false;
  bool no_body_ = false;
  bool unframed_allowed_ = false;
  bool unframed_ = false;
  bool is_head_request_ = false;
  int minor_version_ = 1;
  Message message_;
  int failure_status_ = 0;
  std::string failure_reason_;
};

std::string_view reason(int status);

}  // namespace pearspar::http
