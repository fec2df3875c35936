// An incremental parser for HTTP/1.1 requests and replies. It works in place: headers and body are slices of
// the receive buffer, and the chunks of a body are joined there.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/buffer.h"

namespace pearspar::http {

inline constexpr std::size_t max_head = 16 * 1024;  // bytes
inline constexpr std::size_t max_body = 64 * 1024;  // bytes
inline constexpr std::size_t max_headers = 100;
// Bytes of chunk sizes and trailers in one message. Larger body limits allow eight times their size, enough
// for chunks of a single byte.
inline constexpr std::size_t max_framing = 512 * 1024;

// Limits on a message. Larger ones are rejected without being read completely.
struct MessageLimits {
  std::size_t head = max_head;      // bytes
  std::size_t body = max_body;      // bytes
  std::size_t lines = max_headers;  // header lines
};

enum class MessageKind { request, reply };
enum class Progress { more, done, failed };

// Compares ASCII text.
bool equals_ignoring_case(std::string_view a, std::string_view b);

// A parsed message. Which fields are set depends on its kind.
struct Message {
  std::string_view method;  // requests only
  std::string_view target;  // requests only
  int status = 0;           // replies only
  bool keep_alive = true;
  bool wants_continue = false;  // has "Expect: 100-continue"
  std::vector<std::pair<std::string_view, std::string_view>> headers;
  std::string_view body;
  std::optional<std::size_t> length;  // Content-Length, if present

  // The value of the first header with this name, in any case.
  std::optional<std::string_view> header(std::string_view name) const;
};

// Parses consecutive messages at the front of a buffer. The slices of message() stay valid until next(), as
// long as the buffer is not changed.
class MessageReader {
 public:
  explicit MessageReader(MessageKind kind, MessageLimits limits = {})
      : kind_(kind), limits_(limits), next_limits_(limits) {}

  // Applies to messages that begin from now on. One that has begun in `buffer` may have the larger of both
  // limits.
  void set_limits(MessageLimits limits, const net::Buffer& buffer);

  // To be called whenever the buffer has grown. Resumes where the last call stopped.
  Progress advance(net::Buffer& buffer);
  // After `done`: consumes the message and prepares for the next.
  void next(net::Buffer& buffer);
  // Whether the next replies answer HEAD requests: they have no body, whatever their Content-Length.
  void expect_no_body(bool yes) { no_body_ = yes; }

  // Accepts replies without a length, whose body ends with the connection. Rejected otherwise.
  void allow_unframed_body() { unframed_allowed_ = true; }
  // To be called after an orderly end of the connection; `done` if that ends the message.
  Progress ended(net::Buffer& buffer);

  const Message& message() const { return message_; }
  // Whether a part of a message has been received.
  bool begun(const net::Buffer& buffer) const { return stage_ != Stage::head || buffer.size() > 0; }
  // True once per message whose sender waits for "100 Continue" before it sends the body.
  bool take_continue_request();

  // Whether the request line names HEAD; also valid after `failed`.
  bool is_head_request() const { return is_head_request_; }

  // After `failed`: the status and error text for the client.
  int failure_status() const { return failure_status_; }
  const std::string& failure_reason() const { return failure_reason_; }

 private:
  enum class Stage { head, body, unframed, chunk_size, chunk, chunk_end, trailer, done, failed };

  Progress fail(int status, std::string why);
  bool refuse(int status, const char* why);  // like fail(); returns false
  Progress read_head(net::Buffer& buffer);
  bool parse_head(std::string_view head);
  bool parse_start(std::string_view line);
  bool parse_header(std::string_view line);
  bool settle_framing();
  Progress read_chunks(net::Buffer& buffer);
  Progress read_chunk_lines(net::Buffer& buffer);
  Progress finish(net::Buffer& buffer);

  MessageKind kind_;
  MessageLimits limits_;       // on the current message
  MessageLimits next_limits_;  // on later ones
  Stage stage_ = Stage::head;
  std::size_t scanned_ = 0;    // bytes already searched for the end of the head
  std::size_t head_size_ = 0;  // including the empty line
  std::size_t body_size_ = 0;
  std::size_t at_ = 0;       // position in the buffer while reading chunks
  std::size_t framing_ = 0;  // bytes of chunk sizes and trailers
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

// The reason phrase of a status code.
std::string_view reason(int status);

}  // namespace pearspar::http
