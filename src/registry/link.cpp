#include "registry/link.h"

#include <cstring>

namespace pearspar::registry {
namespace {

constexpr std::size_t read_step = 16 * 1024;
constexpr int reads_a_turn = 8;  // so that a registry with much to say does not hold the loop

}  // namespace

void Link::send(const net::Address& address, const Request& request, const std::string& headers,
                std::unique_ptr<ReplyReader> reader, bool again) {
  again_ = again;
  bool same = fd_ && up_ && !reader_ && address == address_ && in_.size() == 0;
  if (!same) close();
  address_ = address;
  request_ =
      request.method + " " + request.target + " HTTP/1.1\r\nHost: " + address.text() + "\r\n" + headers;
  if (!request.body.empty()) request_ += "Content-Type: application/json\r\n";
  request_ += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
  reader_ = std::move(reader);
  reply_ = http::ReplyStream();
  head_told_ = heard_ = false;
  written_ = 0;
  if (!same) return connect();
  watch_.set_events(POLLIN | POLLOUT);
}

void Link::connect() {
  int error = 0;
  used_ = up_ = false;
  written_ = 0;
  fd_ = net::start_connect(address_, error);
  if (!fd_) {
    // Told from the loop like any other failure, never from within a send.
    why_ = std::strerror(error);
    fd_ = net::Fd();
    failed_start_ = loop_.at(loop_.now(), [this] {
      fail(Fault::refused, std::move(why_));
      after_(Came::fault);
    });
    return;
  }
  watch_ = loop_.watch(fd_.get(), POLLOUT, [this](short events) { on_ready(events); });
}

void Link::close() {
  failed_start_.reset();
  watch_.reset();
  fd_.reset();
  up_ = used_ = false;
  in_.release();
  reader_.reset();
  request_.clear();
}

Link::Came Link::fail(Fault fault, std::string why) {
  close();
  fault_ = fault;
  why_ = std::move(why);
  return Came::fault;
}

bool Link::write() {
  while (written_ < request_.size()) {
    std::size_t put = 0;
    net::IoResult result = net::write_from(fd_, std::string_view(request_).substr(written_), put);
    if (result == net::IoResult::failed) return false;
    if (result == net::IoResult::none) break;
    written_ += put;
  }
  watch_.set_events(static_cast<short>(POLLIN | (written_ < request_.size() ? POLLOUT : 0)));
  return true;
}

void Link::on_ready(short events) {
  Came came = Came::some;
  if (!up_) {
    if (int error = net::connect_error(fd_))
      return fail(Fault::refused, std::strerror(error)), after_(Came::fault);
    up_ = true;
  }
  if (!reader_) {
    // Idle: whatever comes now is its end, or nothing that was asked for.
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) close();
    return;
  }
  bool broke = (events & POLLOUT) != 0 && !write();
  if (!broke && (events & (POLLIN | POLLHUP | POLLERR)) == 0) return;
  came = broke ? fail(Fault::ended, "it broke while it was written to") : read();
  after_(came);
}

Link::Came Link::read() {
  auto take = [this](std::string_view piece) {
    if (!head_told_ && !reader_->head(reply_)) return false;
    head_told_ = true;
    return reader_->piece(piece);
  };
  for (int i = 0; i < reads_a_turn; ++i) {
    std::size_t before = in_.size();
    net::IoResult result = net::read_into(fd_, in_, read_step);
    if (result == net::IoResult::none) return Came::some;
    bool end = result != net::IoResult::some;
    // A kept connection may have ended while nobody looked: what was sent on it is sent once more, on a new
    // one.
    if (end && !heard_ && used_ && again_) {
      watch_.reset();
      fd_.reset();
      in_.release();
      connect();
      return Came::some;
    }
    heard_ = true;
    bytes_read_ += in_.size() - before;
    http::Progress progress = end ? reply_.ended() : reply_.advance(in_, take);
    if (progress == http::Progress::failed) {
      // The reader's own reason, where it was the reader that would not go on.
      if (!reader_->why().empty()) return fail(reader_->fault(), reader_->why());
      return fail(end ? Fault::ended : Fault::malformed, reply_.failure_reason());
    }
    if (progress == http::Progress::more) continue;
    // A reply without a body has told its head to nobody yet.
    bool fine = (head_told_ || reader_->head(reply_)) && reader_->end();
    if (!fine) return fail(reader_->fault(), reader_->why());
    bool keep = reply_.keep_alive() && in_.size() == 0 && !end;
    if (!keep) {
      close();
    } else {
      reader_.reset();
      used_ = true;
      watch_.set_events(POLLIN);
    }
    return Came::whole;
  }
  return Came::some;
}

}  // namespace pearspar::registry
