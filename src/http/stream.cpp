#include "http/stream.h"

#include <algorithm>
#include <charconv>

namespace pearspar::http {
namespace {

constexpr std::size_t max_line = 1024;  // bytes of a chunk size or trailer line

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool read_number(std::string_view text, std::size_t& number, int base) {
  auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
  return error == std::errc() && stop == text.data() + text.size();
}

}  // namespace

std::string_view ReplyStream::header(std::string_view name) const {
  for (const auto& [key, value] : headers_)
    if (equals_ignoring_case(key, name)) return value;
  return {};
}

Progress ReplyStream::fail(std::string why) {
  stage_ = Stage::failed;
  failure_reason_ = std::move(why);
  return Progress::failed;
}

Progress ReplyStream::read_head(std::string_view head) {
  std::size_t end = head.find("\r\n");
  std::string_view start = head.substr(0, end);
  std::size_t status = 0;
  if (start.size() < 12 || (start.substr(0, 9) != "HTTP/1.1 " && start.substr(0, 9) != "HTTP/1.0 ") ||
      !read_number(start.substr(9, 3), status, 10) || status < 100 || status > 599 ||
      (start.size() > 12 && start[12] != ' '))
    return fail("invalid status line");
  keep_alive_ = start[7] == '1';
  headers_.clear();
  for (head.remove_prefix(std::min(head.size(), end + 2)); !head.empty();) {
    end = head.find("\r\n");
    std::string_view line = head.substr(0, end);
    head.remove_prefix(std::min(head.size(), end + 2));
    if (line.empty()) continue;
    std::size_t colon = line.find(':');
    if (colon == 0 || colon == line.npos || headers_.size() >= max_headers)
      return fail("invalid or too many headers");
    headers_.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
  }
  if (status < 200) return Progress::more;  // an interim reply; the final one follows
  status_ = static_cast<int>(status);
  if (std::string_view connection = header("Connection"); !connection.empty())
    keep_alive_ = equals_ignoring_case(connection, "keep-alive") ||
                  (keep_alive_ && !equals_ignoring_case(connection, "close"));
  std::string_view coding = header("Transfer-Encoding");
  std::string_view length = header("Content-Length");
  if (!coding.empty()) {
    if (!equals_ignoring_case(coding, "chunked") || !length.empty())
      return fail("unsupported Transfer-Encoding");
    stage_ = Stage::chunk_size;
  } else if (!length.empty()) {
    if (!read_number(length, left_, 10)) return fail("invalid Content-Length");
    stage_ = left_ > 0 ? Stage::counted : Stage::done;
  } else if (status == 204 || status == 304) {
    stage_ = Stage::done;
  } else {
    stage_ = Stage::until_close;
    keep_alive_ = false;
  }
  return Progress::more;
}

// Handles a line of the chunked framing.
Progress ReplyStream::read_line(std::string_view line) {
  if (stage_ == Stage::trailer) {
    trailer_ += line.size();
    if (trailer_ > max_head) return fail("the trailers are too large");
    if (line.empty()) stage_ = Stage::done;
    return Progress::more;
  }
  if (stage_ == Stage::chunk_end) {
    if (!line.empty()) return fail("a chunk is longer than its size");
    stage_ = Stage::chunk_size;
    return Progress::more;
  }
  if (!read_number(trimmed(line.substr(0, line.find(';'))), left_, 16)) return fail("invalid chunk size");
  stage_ = left_ > 0 ? Stage::chunk : Stage::trailer;
  return Progress::more;
}

Progress ReplyStream::advance(net::Buffer& buffer, const BodySink& sink) {
  while (stage_ != Stage::done && stage_ != Stage::failed) {
    std::string_view bytes = buffer.view();
    if (bytes.empty()) return Progress::more;
    if (stage_ == Stage::head) {
      std::size_t end = bytes.find("\r\n\r\n");
      if (end == bytes.npos) return bytes.size() > max_head ? fail("the head is too large") : Progress::more;
      if (end > max_head) return fail("the head is too large");
      if (read_head(bytes.substr(0, end + 2)) == Progress::failed) return Progress::failed;
      buffer.consume(end + 4);
    } else if (stage_ == Stage::counted || stage_ == Stage::chunk || stage_ == Stage::until_close) {
      std::size_t size = stage_ == Stage::until_close ? bytes.size() : std::min(left_, bytes.size());
      if (!sink(bytes.substr(0, size))) return fail("the body was rejected");
      buffer.consume(size);
      if (stage_ == Stage::until_close) continue;
      left_ -= size;
      if (left_ == 0) stage_ = stage_ == Stage::counted ? Stage::done : Stage::chunk_end;
    } else {
      std::size_t end = bytes.find("\r\n");
      if (end == bytes.npos)
        return bytes.size() > max_line ? fail("a chunk line is too long") : Progress::more;
      if (read_line(bytes.substr(0, end)) == Progress::failed) return Progress::failed;
      buffer.consume(end + 2);
    }
  }
  return stage_ == Stage::done ? Progress::done : Progress::failed;
}

Progress ReplyStream::ended() {
  if (stage_ == Stage::done || stage_ == Stage::until_close) {
    stage_ = Stage::done;
    return Progress::done;
  }
  return fail("the connection ended within a reply");
}

}  // namespace pearspar::http
