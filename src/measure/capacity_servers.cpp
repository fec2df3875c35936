// Hollow index servers: beats over real HTTP, as the wire's page has them, and nothing else. Each goes where
// the last answer sent it, and on to the next member after a failure or a second of silence.
#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>

#include "http/message.h"
#include "measure/capacity.h"
#include "net/loop.h"
#include "net/socket.h"

namespace pearspar::measure {
namespace {

constexpr net::Duration patience{1.0};

std::string between(std::string_view text, std::string_view before) {
  std::size_t at = text.find(before);
  if (at == text.npos) return {};
  at += before.size();
  return std::string(text.substr(at, text.find('"', at) - at));
}

class HollowServer {
 public:
  HollowServer(net::Loop& loop, const ServerPart& part, int number, const std::vector<std::string>& members,
               double first)
      : loop_(loop),
        part_(part),
        number_(number),
        members_(members),
        next_(static_cast<std::size_t>(number)) {
    timer_ = loop_.at(loop_.now() + net::Duration(first), [this] { beat(); });
  }

 private:
  ServerBoard& board() { return *part_.board; }
  void beat() {
    began_ = loop_.now();
    timer_ = loop_.at(began_ + patience, [this] { failed(); });
    ++board().beats;
    if (target_.empty()) target_ = members_[next_ % members_.size()];
    std::string body = beat_body(number_, "at_post", ++call_);
    out_ = fmt::format(
        "PUT /pearspar/nodes/{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: "
        "{}\r\n\r\n{}",
        server_id(number_), target_, body.size(), body);
    written_ = 0;
    if (fd_) return watch_.set_events(POLLIN | POLLOUT);
    auto address = net::Address::parse(target_);
    int error = 0;
    if (address) fd_ = net::start_connect(*address, error);
    if (!fd_) return failed();
    ++board().opened;
    reader_ = http::MessageReader(http::MessageKind::reply);
    in_ = {};
    watch_ = loop_.watch(fd_.get(), POLLIN | POLLOUT, [this](short events) { on_ready(events); });
  }
  void on_ready(short events) {
    if ((events & POLLOUT) != 0 && written_ < out_.size()) {
      std::size_t now = 0;
      if (net::write_from(fd_, std::string_view(out_).substr(written_), now) == net::IoResult::failed)
        return failed();
      written_ += now;
      board().bytes_out += now;
      if (written_ == out_.size()) watch_.set_events(POLLIN);
    }
    if ((events & (POLLIN | POLLHUP | POLLERR)) == 0) return;
    std::size_t before = in_.size();
    net::IoResult result = net::read_into(fd_, in_, 4096);
    board().bytes_in += in_.size() - before;
    if (result == net::IoResult::none) return;
    if (result != net::IoResult::some) return written_ < out_.size() || !answered_ ? failed() : drop();
    http::Progress progress = reader_.advance(in_);
    if (progress == http::Progress::failed) return failed();
    if (progress != http::Progress::done) return;
    const http::Message& message = reader_.message();
    if (message.status < 200 || message.status > 299) return failed();
    answered(message);
  }
  void answered(const http::Message& message) {
    double ms = net::Duration(loop_.read_clock() - began_).count() * 1000;
    auto step =
        static_cast<std::size_t>(std::clamp(std::ceil(std::log(std::max(ms, 0.05) / 0.05) / std::log(1.5)),
                                            0.0, static_cast<double>(latency_steps - 1)));
    ++board().latency[step];
    ++board().answered;
    std::string target = between(message.body, "\"beatAddress\":\"");
    bool keep = part_.held && message.keep_alive && (target.empty() || target == target_);
    if (!target.empty()) target_ = target;
    reader_.next(in_);
    if (!keep) drop();
    answered_ = true;
    rest();
  }
  void failed() {
    ++board().failed;
    target_.clear();
    ++next_;
    drop();
    rest();
  }
  void rest() {
    timer_ = loop_.at(
        std::max(loop_.now() + net::Duration(0.02), began_ + net::Duration(part_.beat_ms / 1000)), [this] {
          answered_ = false;
          beat();
        });
  }
  // At once and without a wait of the port: what was to come has come.
  void drop() {
    if (!fd_) return;
    linger none{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &none, sizeof none);
    watch_.reset();
    fd_.reset();
  }

  net::Loop& loop_;
  const ServerPart& part_;
  int number_;
  const std::vector<std::string>& members_;
  std::size_t next_;
  std::string target_;
  std::uint64_t call_ = 0;
  bool answered_ = false;
  net::Time began_{};
  net::Fd fd_;
  net::Watch watch_;
  net::Timer timer_;
  net::Buffer in_;
  std::string out_;
  std::size_t written_ = 0;
  http::MessageReader reader_{http::MessageKind::reply};
};

}  // namespace

std::string server_id(int server) { return fmt::format("i-{:08x}", server); }

std::string beat_body(int server, std::string_view state, std::uint64_t call) {
  return fmt::format(R"({{"depot":"shard{}","address":"10.{}.{}.{}:8080","zoneName":"zone{}","edition":"v1",)"
                     R"("slotCount":3,"nodeState":"{}","coldLeftMs":0,"callSeq":{}}})",
                     server % 280, server >> 16 & 255, server >> 8 & 255, server & 255, server % 13, state,
                     call);
}

void run_servers(const ServerPart& part, const std::vector<std::string>& members) {
  net::Loop loop;
  std::mt19937_64 random(static_cast<std::uint64_t>(part.first) + 1);
  std::uniform_real_distribution<double> phase(0, part.beat_ms / 1000);
  std::vector<std::unique_ptr<HollowServer>> servers;
  for (int i = part.first; i < part.first + part.count; ++i)
    servers.push_back(std::make_unique<HollowServer>(loop, part, i, members, phase(random)));
  while (true) loop.run_once();
}

}  // namespace pearspar::measure
