#include "discovery/client.h"

#include <algorithm>
#include <chrono>
#include <cstring>

namespace pearspar::discovery {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t read_chunk_bytes = 16 * 1024;
constexpr std::chrono::milliseconds long_poll_wait = 5s;
constexpr net::Duration reply_timeout = 2s;      // to connect, and for a reply after the long-poll wait
constexpr net::Duration initial_backoff = 50ms;  // doubled with each consecutive failure
constexpr net::Duration max_backoff = 1s;
// A full list with an older revision is stale; after this many in a row the registry is taken to be reset.
constexpr int older_lists_before_accepting = 5;

}  // namespace

void Client::start() {
  if (started_) return;
  started_ = true;
  connect();
}

void Client::stop() {
  started_ = false;
  timer_.reset();
  disconnect();
}

void Client::fetch() {
  want_full_list_ = true;
  if (!started_) return start();
  disconnect();
  connect();
}

void Client::connect() {
  int error = 0;
  fd_ = net::start_connect(address_, error);
  if (!fd_) return fail(std::strerror(error));
  connected_ = false;
  watch_ = loop_.watch(fd_.get(), POLLOUT, [this](short events) { on_ready(events); });
  timer_ = loop_.at(loop_.now() + reply_timeout, [this] { fail("no connection in time"); });
}

void Client::send_request() {
  request_pending_ = true;
  requested_at_ = loop_.now();
  requested_full_list_ = want_full_list_ || revision_ < 0;
  out_ = "GET /registry/instances";
  net::Duration wait = reply_timeout;
  if (!requested_full_list_) {
    out_ += "?after=" + std::to_string(revision_) + "&wait_ms=" + std::to_string(long_poll_wait.count());
    wait += long_poll_wait;
  }
  out_ += " HTTP/1.1\r\nHost: " + address_.text() + "\r\n\r\n";
  timer_ = loop_.at(loop_.now() + wait, [this] { fail("request timed out"); });
  write();
}

void Client::on_ready(short events) {
  if (!connected_) {
    if (int error = net::connect_error(fd_)) return fail(std::strerror(error));
    connected_ = true;
    return send_request();
  }
  if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) return read();
  if ((events & POLLOUT) != 0) write();
}

void Client::write() {
  while (!out_.empty()) {
    std::size_t written = 0;
    net::IoResult result = net::write_from(fd_, out_, written);
    if (result == net::IoResult::failed) return fail("write failed");
    if (result == net::IoResult::none) break;
    out_.erase(0, written);
  }
  watch_.set_events(static_cast<short>(POLLIN | (out_.empty() ? 0 : POLLOUT)));
}

void Client::read() {
  net::IoResult result = net::read_into(fd_, in_, read_chunk_bytes);
  if (result == net::IoResult::none) return;
  if (result == net::IoResult::ended) return fail("connection closed by the agent");
  if (result == net::IoResult::failed) return fail("read failed");
  if (!request_pending_) return fail("data received without a request");
  switch (reader_.advance(in_)) {
    case http::Progress::more:
      return;
    case http::Progress::failed:
      return fail(reader_.failure_reason());
    case http::Progress::done:
      return handle_reply();
  }
}

void Client::handle_reply() {
  const http::Message& reply = reader_.message();
  MemberList list;
  try {
    if (reply.status != 200) return fail("status " + std::to_string(reply.status));
    list = read_members(json::parse(reply.body));
  } catch (const json::ParseError& error) {
    return fail(error.what());
  }
  bool keep_alive = reply.keep_alive;
  reader_.next(in_);
  request_pending_ = false;
  consecutive_failures_ = 0;
  timer_.reset();
  bool notified = apply_list(list);
  if (!started_) return;
  if (!keep_alive || in_.size() > 0) disconnect();
  // The next long poll starts at once, except after an immediate reply without changes: an agent that does
  // not wait would otherwise cause a busy loop.
  if (notified || loop_.now() >= requested_at_ + initial_backoff) return send_next_request();
  timer_ = loop_.at(requested_at_ + initial_backoff, [this] { send_next_request(); });
}

void Client::send_next_request() {
  if (connected_) return send_request();
  disconnect();
  if (no_reconnect_) return timer_.reset();
  connect();
}

bool Client::apply_list(const MemberList& list) {
  if (list.complete) {
    bool older = list.revision < revision_;
    consecutive_older_lists_ = older ? consecutive_older_lists_ + 1 : 0;
    if (older && consecutive_older_lists_ < older_lists_before_accepting) {
      ++counters_.stale;
      want_full_list_ = true;
      return false;
    }
    consecutive_older_lists_ = 0;
    want_full_list_ = false;
    ++counters_.lists;
  } else {
    // Changes that are not newer than the current list are repeated or belong to another list.
    if (requested_full_list_ || list.revision <= revision_) {
      if (!list.entries.empty() || requested_full_list_) ++counters_.stale;
      return false;
    }
    if (!list.entries.empty()) ++counters_.changes;
  }
  revision_ = list.revision;
  user_.members_told(list);
  return true;
}

void Client::fail(const std::string& why) {
  ++counters_.failures;
  disconnect();
  if (no_reconnect_) return timer_.reset();
  // Logged once per series of failures.
  if (consecutive_failures_ == 0) log_.warning("discovery: {}; the list stands", why);
  net::Duration pause = initial_backoff * static_cast<double>(1 << std::min(consecutive_failures_, 5));
  ++consecutive_failures_;
  timer_ = loop_.at(loop_.now() + std::min(pause, max_backoff), [this] { connect(); });
  user_.members_failed();
}

void Client::disconnect() {
  watch_.reset();
  fd_.reset();
  connected_ = request_pending_ = false;
  in_.release();
  out_.clear();
  reader_ = http::MessageReader(http::MessageKind::reply);
}

}  // namespace pearspar::discovery
