#include "simulation/plain_http.h"

#include <algorithm>

namespace pearspar::simulation {
namespace {

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
  return text;
}

std::size_t number(const std::string& text, int base, bool& good) {
  good = !text.empty() && text.size() < 9 &&
         text.find_first_not_of(base == 16 ? "0123456789abcdefABCDEF" : "0123456789") == text.npos;
  return good ? std::stoul(text, nullptr, base) : 0;
}

// A body in chunks from `at` on, which moves behind it.
Plain take_chunks(const std::string& bytes, std::size_t& at, std::string& body) {
  while (true) {
    std::size_t end = bytes.find("\r\n", at);
    if (end == bytes.npos) return Plain::more;
    bool good = false;
    std::size_t size = number(bytes.substr(at, end - at), 16, good);
    if (!good) return Plain::broken;
    at = end + 2;
    if (bytes.size() < at + size + 2) return Plain::more;
    if (bytes.compare(at + size, 2, "\r\n") != 0) return Plain::broken;
    body += bytes.substr(at, size);
    at += size + 2;
    if (size == 0) return Plain::whole;
  }
}

}  // namespace

std::string PlainMessage::header(const std::string& name) const {
  std::string joined;
  for (const auto& [key, value] : headers)
    if (lower(key) == lower(name)) joined += (joined.empty() ? "" : ", ") + value;
  return joined;
}

bool PlainMessage::has(const std::string& name) const {
  return std::any_of(headers.begin(), headers.end(),
                     [&](const auto& each) { return lower(each.first) == lower(name); });
}

std::string PlainMessage::target() const {
  std::size_t from = start.find(' ');
  return from == start.npos ? "" : start.substr(from + 1, start.rfind(' ') - from - 1);
}

int PlainMessage::status() const {
  bool good = false;
  int status = start.size() >= 12 ? static_cast<int>(number(start.substr(9, 3), 10, good)) : 0;
  return good && start.starts_with("HTTP/1.1 ") ? status : 0;
}

Plain take_message(std::string& bytes, bool answer, PlainMessage& message, bool to_head) {
  std::size_t end = bytes.find("\r\n\r\n");
  if (answer) {
    std::string begin = bytes.substr(0, 9);
    if (begin != std::string("HTTP/1.1 ").substr(0, begin.size())) return Plain::broken;
  }
  if (end == bytes.npos) return Plain::more;
  message = {};
  std::size_t at = bytes.find("\r\n");
  message.start = bytes.substr(0, at);
  if (answer && message.status() < 100) return Plain::broken;
  while (at < end) {
    at += 2;
    std::size_t stop = bytes.find("\r\n", at);
    std::string line = bytes.substr(at, stop - at);
    std::size_t colon = line.find(':');
    if (colon == line.npos || colon == 0) return Plain::broken;
    std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers.emplace_back(line.substr(0, colon), value == line.npos ? "" : line.substr(value));
    at = stop;
  }
  at = end + 4;
  bool interim = answer && message.status() < 200;
  if (to_head && !interim) {
    bytes.erase(0, at);
    return Plain::whole;
  }
  if (message.has("Transfer-Encoding")) {
    if (message.header("Transfer-Encoding") != "chunked" || message.has("Content-Length"))
      return Plain::broken;
    Plain result = take_chunks(bytes, at, message.body);
    if (result != Plain::whole) return result;
  } else if (message.has("Content-Length")) {
    bool good = false;
    std::size_t size = number(message.header("Content-Length"), 10, good);
    if (!good) return Plain::broken;
    if (bytes.size() < at + size) return Plain::more;
    message.body = bytes.substr(at, size);
    at += size;
  } else if (answer && !interim) {
    return Plain::broken;
  }
  bytes.erase(0, at);
  return Plain::whole;
}

std::string in_chunks(const std::string& body, World& world, const std::string& trailers) {
  std::string text;
  for (std::size_t at = 0; at < body.size();) {
    std::size_t size = std::min<std::size_t>(1 + world.below(15), body.size() - at);
    text += std::string(1, "0123456789abcdef"[size]) + "\r\n" + body.substr(at, size) + "\r\n";
    at += size;
  }
  return text + "0\r\n" + trailers + "\r\n";
}

}  // namespace pearspar::simulation
