#include "http/message.h"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace pearspar::http {
namespace {

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

bool is_token(std::string_view text) {
  constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') || marks.find(c) != marks.npos;
  });
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

// Removes and returns the text before `mark`, and removes `mark`; all of the text if there is no `mark`.
std::string_view take_until(std::string_view& text, char mark) {
  std::size_t found = text.find(mark);
  std::string_view front = text.substr(0, found);
  text.remove_prefix(found == text.npos ? text.size() : found + 1);
  return front;
}

// Whether a comma-separated list contains `item`, in any case.
bool lists(std::string_view list, std::string_view item) {
  while (!list.empty())
    if (equals_ignoring_case(trimmed(take_until(list, ',')), item)) return true;
  return false;
}

bool clean_value(std::string_view value) {
  return std::none_of(value.begin(), value.end(), [](char c) {
    return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f;
  });
}

}  // namespace

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

std::optional<std::string_view> Message::header(std::string_view name) const {
  for (const auto& [key, value] : headers)
    if (equals_ignoring_case(key, name)) return value;
  return std::nullopt;
}

Progress MessageReader::fail(int status, std::string why) {
  stage_ = Stage::failed;
  failure_status_ = status;
  failure_reason_ = std::move(why);
  return Progress::failed;
}

bool MessageReader::refuse(int status, const char* why) {
  fail(status, why);
  return false;
}

bool MessageReader::take_continue_request() { return std::exchange(continue_owed_, false); }

Progress MessageReader::advance(net::Buffer& buffer) {
  switch (stage_) {
    case Stage::done:
      return Progress::done;
    case Stage::failed:
      return Progress::failed;
    case Stage::head:
      return read_head(buffer);
    case Stage::body:
      return buffer.size() < head_size_ + body_size_ ? Progress::more : finish(buffer);
    case Stage::unframed:
      if (buffer.size() - head_size_ > limits_.body) return fail(413, "the body is too large");
      return Progress::more;
    default:
      return read_chunks(buffer);
  }
}

Progress MessageReader::ended(net::Buffer& buffer) {
  const Progress progress = advance(buffer);
  if (progress != Progress::more || stage_ != Stage::unframed) return progress;
  body_size_ = buffer.size() - head_size_;
  return finish(buffer);
}

void MessageReader::set_limits(MessageLimits limits, const net::Buffer& buffer) {
  next_limits_ = limits;
  if (begun(buffer)) {
    limits.head = std::max(limits.head, limits_.head);
    limits.body = std::max(limits.body, limits_.body);
    limits.lines = std::max(limits.lines, limits_.lines);
  }
  limits_ = limits;
}

void MessageReader::next(net::Buffer& buffer) {
  buffer.consume(chunked_ ? at_ : head_size_ + body_size_);
  const bool no_body = no_body_, unframed_allowed = unframed_allowed_;
  *this = MessageReader(kind_, next_limits_);
  no_body_ = no_body;
  unframed_allowed_ = unframed_allowed;
}

Progress MessageReader::read_head(net::Buffer& buffer) {
  // Skips empty lines before a message (RFC 9112, 2.2), also if their two bytes came separately.
  while (buffer.view().substr(0, 2) == "\r\n") {
    buffer.consume(2);
    scanned_ = 0;
  }
  std::string_view view = buffer.view();
  std::size_t from = scanned_ > 3 ? scanned_ - 3 : 0;
  std::size_t end = view.substr(0, limits_.head).find("\r\n\r\n", from);
  if (end == view.npos) {
    scanned_ = std::min(view.size(), limits_.head);
    return view.size() < limits_.head ? Progress::more : fail(431, "the head is too large");
  }
  head_size_ = end + 4;
  if (!parse_head(view.substr(0, end)) || !settle_framing()) return Progress::failed;
  if (message_.wants_continue && buffer.size() == head_size_) continue_owed_ = true;
  at_ = head_size_;
  stage_ = chunked_ ? Stage::chunk_size : unframed_ ? Stage::unframed : Stage::body;
  return advance(buffer);
}

bool MessageReader::parse_head(std::string_view head) {
  message_ = Message{};
  bool first = true;
  while (!head.empty()) {
    std::size_t end = head.find("\r\n");
    std::string_view line = head.substr(0, end);
    head.remove_prefix(end == head.npos ? head.size() : end + 2);
    if (!(first ? parse_start(line) : parse_header(line))) return false;
    first = false;
  }
  return true;
}

bool MessageReader::parse_start(std::string_view line) {
  std::string_view version;
  if (kind_ == MessageKind::request) {
    message_.method = take_until(line, ' ');
    message_.target = take_until(line, ' ');
    version = line;
    is_head_request_ = message_.method == "HEAD";
    if (!is_token(message_.method) || message_.target.empty() || !clean_value(message_.target) ||
        message_.target.find('\t') != message_.target.npos)
      return refuse(400, "the request line cannot be read");
  } else {
    version = take_until(line, ' ');
    std::string_view status = take_until(line, ' ');
    auto [stop, error] = std::from_chars(status.data(), status.data() + status.size(), message_.status);
    if (status.size() != 3 || error != std::errc() || stop != status.data() + 3 || message_.status < 100 ||
        message_.status > 599 || !clean_value(line))
      return refuse(400, "the status line cannot be read");
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0")
    return refuse(version.substr(0, 5) == "HTTP/" ? 505 : 400, "the version is not HTTP/1.1");
  minor_version_ = version.back() - '0';
  return true;
}

bool MessageReader::parse_header(std::string_view line) {
  std::size_t colon = line.find(':');
  if (colon == line.npos || !is_token(line.substr(0, colon))) return refuse(400, "a header cannot be read");
  std::string_view value = trimmed(line.substr(colon + 1));
  if (!clean_value(value)) return refuse(400, "a header holds a control character");
  if (message_.headers.size() >= limits_.lines) return refuse(431, "too many headers");
  message_.headers.emplace_back(line.substr(0, colon), value);
  return true;
}

// Determines the length of the body and whether the connection persists. Ambiguous framing is rejected, since
// another reader of the same bytes may see a different end (request smuggling).
bool MessageReader::settle_framing() {
  bool has_length = false, has_host = false, closes = false, keeps = false;
  chunked_ = false;
  body_size_ = 0;
  for (const auto& [name, value] : message_.headers) {
    if (equals_ignoring_case(name, "Content-Length")) {
      std::size_t size = 0;
      auto [stop, error] = std::from_chars(value.data(), value.data() + value.size(), size);
      if (value.empty() || error != std::errc() || stop != value.data() + value.size())
        return refuse(400, "Content-Length is not a number");
      if (has_length && size != body_size_) return refuse(400, "Content-Length stands twice");
      has_length = true;
      body_size_ = size;
    } else if (equals_ignoring_case(name, "Transfer-Encoding")) {
      if (chunked_ || !equals_ignoring_case(value, "chunked"))
        return refuse(501, "Transfer-Encoding is not chunked");
      chunked_ = true;
    } else if (equals_ignoring_case(name, "Host") && kind_ == MessageKind::request) {
      if (std::exchange(has_host, true)) return refuse(400, "Host stands twice");
    } else if (equals_ignoring_case(name, "Connection")) {
      closes = closes || lists(value, "close");
      keeps = keeps || lists(value, "keep-alive");
    } else if (equals_ignoring_case(name, "Expect")) {
      if (!equals_ignoring_case(value, "100-continue")) return refuse(417, "Expect is not 100-continue");
      message_.wants_continue = true;
    }
  }
  if (chunked_ && has_length) return refuse(400, "both Content-Length and Transfer-Encoding");
  // HTTP/1.0 does not know chunks: an intermediary may have seen a different end, so the connection closes.
  message_.keep_alive = !closes && (minor_version_ == 1 || (keeps && !chunked_));
  if (has_length) message_.length = body_size_;
  bool bodiless = message_.status < 200 || message_.status == 204 || message_.status == 304;
  bool to_head = kind_ == MessageKind::reply && no_body_ && !bodiless;
  if (to_head) {
    // The length is declared, but no body is sent (RFC 9112, 6.3).
    chunked_ = false;
    body_size_ = 0;
  }
  if (body_size_ > limits_.body) return refuse(413, "the body is too large");
  if (kind_ == MessageKind::request && !chunked_ && !has_length &&
      (message_.method == "POST" || message_.method == "PUT" || message_.method == "PATCH"))
    return refuse(411, "neither Content-Length nor chunks");
  if (kind_ == MessageKind::reply && bodiless && (chunked_ || body_size_ > 0))
    return refuse(400, "a reply that has no body names a length");
  unframed_ = kind_ == MessageKind::reply && !chunked_ && !has_length && !bodiless && !to_head;
  if (unframed_ && !unframed_allowed_) return refuse(400, "a reply without a length");
  if (unframed_) message_.keep_alive = false;
  return true;
}

// Removes the framing from the buffer as it is read, so that a body of tiny chunks does not occupy many times
// its size.
Progress MessageReader::read_chunks(net::Buffer& buffer) {
  Progress progress = read_chunk_lines(buffer);
  std::size_t end = head_size_ + body_size_;
  if (progress == Progress::failed || at_ == end) return progress;
  framing_ += at_ - end;
  buffer.erase(end, at_ - end);
  at_ = end;
  if (framing_ > std::max(max_framing, 8 * limits_.body)) return fail(413, "too much framing");
  return progress == Progress::done ? finish(buffer) : progress;
}

Progress MessageReader::read_chunk_lines(net::Buffer& buffer) {
  char* data = buffer.data();
  std::size_t size = buffer.size();
  while (true) {
    if (stage_ == Stage::chunk) {
      std::size_t here = std::min(chunk_left_, size - at_);
      std::memmove(data + head_size_ + body_size_, data + at_, here);
      at_ += here;
      body_size_ += here;
      chunk_left_ -= here;
      if (chunk_left_ > 0) return Progress::more;
      stage_ = Stage::chunk_end;
    }
    // The rest consists of lines: the size of a chunk, the empty line after it, trailers.
    constexpr std::size_t max_line = 1024;  // bytes
    std::string_view rest(data + at_, size - at_);
    std::size_t end = rest.substr(0, max_line).find("\r\n");
    if (end == rest.npos)
      return rest.size() < max_line ? Progress::more : fail(400, "a chunk's line is too long");
    std::string_view line = rest.substr(0, end);
    at_ += end + 2;
    if (stage_ == Stage::chunk_end) {
      if (!line.empty()) return fail(400, "a chunk is longer than its size");
      stage_ = Stage::chunk_size;
    } else if (stage_ == Stage::trailer) {
      if (line.empty()) return Progress::done;
      std::size_t colon = line.find(':');
      if (colon == line.npos || !is_token(line.substr(0, colon)) || !clean_value(line))
        return fail(400, "a trailer cannot be read");
    } else {
      // Rejects control characters in extensions: other readers may take a lone CR or LF as a line end.
      if (!clean_value(line)) return fail(400, "a chunk's size holds a control character");
      bool extended = line.find(';') != line.npos;
      std::string_view digits = take_until(line, ';');
      while (extended && !digits.empty() && (digits.back() == ' ' || digits.back() == '\t'))
        digits.remove_suffix(1);
      auto [stop, error] = std::from_chars(digits.data(), digits.data() + digits.size(), chunk_left_, 16);
      if (digits.empty() || error != std::errc() || stop != digits.data() + digits.size())
        return fail(400, "a chunk's size is not a number");
      if (chunk_left_ > limits_.body - body_size_) return fail(413, "the body is too large");
      stage_ = chunk_left_ == 0 ? Stage::trailer : Stage::chunk;
    }
  }
}

// Parses the head again, since the buffer may have moved since it was first parsed.
Progress MessageReader::finish(net::Buffer& buffer) {
  bool keep_alive = message_.keep_alive, wants_continue = message_.wants_continue;
  auto length = message_.length;
  std::string_view view = buffer.view();
  if (!parse_head(view.substr(0, head_size_ - 4))) return Progress::failed;
  message_.keep_alive = keep_alive;
  message_.wants_continue = wants_continue;
  message_.length = length;
  message_.body = view.substr(head_size_, body_size_);
  stage_ = Stage::done;
  return Progress::done;
}

std::string_view reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 204:
      return "No Content";
    case 307:
      return "Temporary Redirect";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 411:
      return "Length Required";
    case 412:
      return "Precondition Failed";
    case 413:
      return "Content Too Large";
    case 417:
      return "Expectation Failed";
    case 421:
      return "Misdirected Request";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Unknown";
  }
}

}  // namespace pearspar::http
