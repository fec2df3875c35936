#include "discovery/client.h"

#include <algorithm>
#include <chrono>
#include <cstring>

namespace pearspar::discovery {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t read_step = 16 * 1024;
constexpr std::chrono::milliseconds watch_wait = 5s;
constexpr net::Duration reply_grace = 2s;    // for the reply beyond that wait, and for the connection
constexpr net::Duration first_pause = 50ms;  // before a try after a failure, doubled with each in a row
constexpr net::Duration longest_pause = 1s;
// A whole list older than ours is an echo; one that keeps coming is a registry that has begun anew.
constexpr int older_believed = 5;

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
  want_whole_ = true;
  if (!started_) return start();
  disconnect();
  connect();
}

void Client::connect() {
  int error = 0;
  fd_ = net::start_connect(address_, error);
  if (!fd_) return fail(std::strerror(error));
  up_ = false;
  watch_ = loop_.watch(fd_.get(), POLLOUT, [this](short events) { on_ready(events); });
  timer_ = loop_.at(loop_.now() + reply_grace, [this] { fail("no connection in time"); });
}

void Client::ask() {
  asked_ = true;
  asked_at_ = loop_.now();
  asked_whole_ = want_whole_ || revision_ < 0;
  out_ = "GET /registry/instances";
  net::Duration wait = reply_grace;
  if (!asked_whole_) {
    out_ += "?after=" + std::to_string(revision_) + "&wait_ms=" + std::to_string(watch_wait.count());
    wait += watch_wait;
  }
  out_ += " HTTP/1.1\r\nHost: " + address_.text() + "\r\n\r\n";
  timer_ = loop_.at(loop_.now() + wait, [this] { fail("no reply in time"); });
  write();
}

void Client::on_ready(short events) {
  if (!up_) {
    if (int error = net::connect_error(fd_)) return fail(std::strerror(error));
    up_ = true;
    return ask();
  }
  if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) return read();
  if ((events & POLLOUT) != 0) write();
}

void Client::write() {
  while (!out_.empty()) {
    std::size_t written = 0;
    net::IoResult result = net::write_from(fd_, out_, written);
    if (result == net::IoResult::failed) return fail("it broke while it was written to");
    if (result == net::IoResult::none) break;
    out_.erase(0, written);
  }
  watch_.set_events(static_cast<short>(POLLIN | (out_.empty() ? 0 : POLLOUT)));
}

void Client::read() {
  net::IoResult result = net::read_into(fd_, in_, read_step);
  if (result == net::IoResult::none) return;
  if (result == net::IoResult::ended) return fail("it ended the connection");
  if (result == net::IoResult::failed) return fail("the connection broke");
  if (!asked_) return fail("it spoke unasked");
  switch (reader_.advance(in_)) {
    case http::Progress::more:
      return;
    case http::Progress::failed:
      return fail(reader_.failure_reason());
    case http::Progress::done:
      return take_reply();
  }
}

void Client::take_reply() {
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
  asked_ = false;
  failures_in_a_row_ = 0;
  timer_.reset();
  bool news = take_list(list);
  if (!started_) return;
  if (!keep_alive || in_.size() > 0) disconnect();
  // The next call goes out at once: a watch that is renewed in time misses nothing. Only an agent that
  // answers at once with nothing new, again and again, is not allowed to keep us busy.
  if (news || loop_.now() >= asked_at_ + first_pause) return ask_again();
  timer_ = loop_.at(asked_at_ + first_pause, [this] { ask_again(); });
}

void Client::ask_again() {
  if (up_) return ask();
  disconnect();
  if (last_) return timer_.reset();
  connect();
}

bool Client::take_list(const MemberList& list) {
  if (list.complete) {
    bool older = list.revision < revision_;
    older_in_a_row_ = older ? older_in_a_row_ + 1 : 0;
    if (older && older_in_a_row_ < older_believed) {
      ++counters_.stale;
      want_whole_ = true;
      return false;
    }
    older_in_a_row_ = 0;
    want_whole_ = false;
    ++counters_.lists;
  } else {
    // Changes that are not newer than what stands have been told already, or refer to another list.
    if (asked_whole_ || list.revision <= revision_) {
      if (!list.entries.empty() || asked_whole_) ++counters_.stale;
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
  if (last_) return timer_.reset();
  // Said once for each run of failures.
  if (failures_in_a_row_ == 0) log_.warning("discovery: {}; the list stands", why);
  net::Duration pause = first_pause * static_cast<double>(1 << std::min(failures_in_a_row_, 5));
  ++failures_in_a_row_;
  timer_ = loop_.at(loop_.now() + std::min(pause, longest_pause), [this] { connect(); });
  user_.members_failed();
}

void Client::disconnect() {
  watch_.reset();
  fd_.reset();
  up_ = asked_ = false;
  in_.release();
  out_.clear();
  reader_ = http::MessageReader(http::MessageKind::reply);
}

}  // namespace pearspar::discovery
