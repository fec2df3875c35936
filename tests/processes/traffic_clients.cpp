// Clients that misbehave, each in a thread of its own, with a connection that it keeps as long as it pleases.
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <random>

#include "http/message.h"
#include "net/socket.h"
#include "processes/traffic.h"

namespace pearspar::processes {
namespace {

using namespace std::chrono_literals;

constexpr double answer_slack_s = 1.5;  // past the deadline, before a client gives up for good
constexpr double connect_within_s = 0.5;

class Client {
 public:
  Client(Scene& scene, TrafficHistory& history, std::uint64_t seed)
      : scene_(scene), history_(history), random_(seed) {}

  void run() {
    while (!scene_.over) {
      if (!fd_ || chance(15)) connect();
      if (!fd_) {
        rest(0.05);
        continue;
      }
      one_request();
      if (chance(10)) rest(0.5 + 0.001 * static_cast<double>(random_() % 1500));
      rest(0.001 * static_cast<double>(random_() % 30));
    }
  }

 private:
  bool chance(unsigned percent) { return random_() % 100 < percent; }
  static void rest(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

  bool wait(short events, double until) {
    pollfd waiting{fd_.get(), events, 0};
    const double left = until - history_.now();
    return left > 0 && ::poll(&waiting, 1, static_cast<int>(left * 1000) + 1) > 0;
  }

  void connect() {
    fd_.reset();
    in_ = net::Buffer();
    used_ = 0;
    {
      std::lock_guard lock(scene_.mutex);
      if (scene_.edges.empty()) return;
      edge_ = scene_.edges[random_() % scene_.edges.size()];
    }
    int error = 0;
    fd_ = net::start_connect(net::Address::of(edge_), error);
    if (!fd_) return;
    if (!wait(POLLOUT, history_.now() + connect_within_s) || net::connect_error(fd_) != 0) fd_.reset();
  }

  bool send(std::string_view bytes, double until) {
    while (!bytes.empty()) {
      std::size_t written = 0;
      const net::IoResult result = net::write_from(fd_, bytes, written);
      if (result == net::IoResult::failed) return false;
      bytes.remove_prefix(written);
      if (result == net::IoResult::none && !wait(POLLOUT, until)) return false;
    }
    return true;
  }

  ClientTry draw() {
    ClientTry attempt;
    attempt.id = fmt::format("{:016x}", random_());
    attempt.edge = edge_;
    attempt.method = "GET";
    attempt.deadline_s = 1;
    const auto drawn = random_() % 100;
    attempt.path = drawn < 35 ? "/g/x" : drawn < 60 ? "/s/x" : drawn < 80 ? "/l/x" : "/u/x";
    if (attempt.path == "/l/x") attempt.deadline_s = 4;
    attempt.safe = attempt.path != "/u/x";
    if (!attempt.safe) {
      attempt.method = "POST";
      attempt.body.assign(chance(20) ? 200'000 : random_() % 2000, 'b');
      for (char& byte : attempt.body) byte = static_cast<char>('a' + random_() % 26);
    }
    attempt.kept = used_ > 0;
    return attempt;
  }

  std::string text_of(const ClientTry& attempt, bool chunked) const {
    std::string text =
        fmt::format("{} {} HTTP/1.1\r\nHost: hall.example\r\nRequest-Id: {}\r\nDeadline-Ms: {:.0f}\r\n",
                    attempt.method, attempt.path, attempt.id, attempt.deadline_s * 1000);
    if (attempt.method == "GET") return text + "\r\n";
    if (!chunked)
      return text + fmt::format("Content-Length: {}\r\n\r\n{}", attempt.body.size(), attempt.body);
    text += "Transfer-Encoding: chunked\r\n\r\n";
    constexpr std::size_t piece = 7000;
    for (std::size_t at = 0; at < attempt.body.size(); at += piece) {
      const std::string chunk = attempt.body.substr(at, piece);
      text += fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk);
    }
    return text + "0\r\n\r\n";
  }

  void one_request() {
    ClientTry attempt = draw();
    attempt.sent_at = history_.now();
    const std::string text = text_of(attempt, chance(30));
    history_.sent(attempt);
    const double until = attempt.sent_at + attempt.deadline_s + answer_slack_s;
    const auto manner = random_() % 100;
    if (manner < 4) return half_a_request(attempt, text);
    const bool sent = manner < 8 ? drip(text, until) : send(text, until);
    if (!sent) return broken_off(attempt);
    history_.sent_whole(attempt.id);
    ++used_;
    if (manner >= 8 && manner < 20) return leave_early(attempt);
    if (manner >= 20 && manner < 24) return pipelined(attempt, until);
    read_answer(attempt, until);
  }

  void half_a_request(const ClientTry& attempt, const std::string& text) {
    send(std::string_view(text).substr(0, text.size() / 2), history_.now() + 1);
    rest(0.2);
    history_.left(attempt.id);
    fd_.reset();
  }

  bool drip(std::string_view text, double until) {
    const std::size_t step = text.size() / 5 + 1;
    while (!text.empty()) {
      if (!send(text.substr(0, step), until)) return false;
      text.remove_prefix(std::min(step, text.size()));
      rest(0.03);
    }
    return true;
  }

  void leave_early(const ClientTry& attempt) {
    rest(0.02 + 0.001 * static_cast<double>(random_() % 300));
    if (wait(POLLIN, history_.now() + 0.001)) return read_answer(attempt, history_.now() + 2);
    history_.left(attempt.id);
    fd_.reset();
  }

  // The next one before the answer to the first is here.
  void pipelined(const ClientTry& first, double until) {
    ClientTry second = draw();
    second.sent_at = history_.now();
    second.behind = first.id;
    history_.sent(second);
    const bool sent = send(text_of(second, false), until);
    if (sent) history_.sent_whole(second.id);
    read_answer(first, until);
    if (!fd_) return history_.left(second.id);  // what crosses a close is not passed on
    if (!sent) return broken_off(second);
    read_answer(second, until + second.deadline_s);
  }

  void broken_off(const ClientTry& attempt) {
    history_.closed(attempt.id);
    fd_.reset();
  }

  void read_answer(const ClientTry& attempt, double until) {
    http::MessageReader reader(http::MessageKind::reply, {16 * 1024, std::size_t{4} << 20, 4096});
    while (true) {
      const http::Progress progress = reader.advance(in_);
      if (progress == http::Progress::failed) {
        history_.fault("MIXED", attempt.edge + " sends what is no answer: " + reader.failure_reason());
        return broken_off(attempt);
      }
      if (progress == http::Progress::done) break;
      // No answer long after its deadline: the history has it as unanswered.
      if (!wait(POLLIN, until)) return fd_.reset();
      const net::IoResult result = net::read_into(fd_, in_, 65536);
      if (result == net::IoResult::ended || result == net::IoResult::failed) return broken_off(attempt);
    }
    const http::Message& message = reader.message();
    std::string head;
    for (const auto& [name, value] : message.headers) head += fmt::format("{}: {}\r\n", name, value);
    history_.answered(attempt.id, message.status, head, std::string(message.body));
    const bool keeps = message.keep_alive;
    reader.next(in_);
    if (!keeps) fd_.reset();
  }

  Scene& scene_;
  TrafficHistory& history_;
  std::mt19937_64 random_;
  net::Fd fd_;
  net::Buffer in_;
  std::string edge_;
  int used_ = 0;
};

}  // namespace

MisbehavingClients::MisbehavingClients(Scene& scene, TrafficHistory& history, std::uint64_t seed,
                                       int threads) {
  for (int i = 0; i < threads; ++i)
    threads_.emplace_back([&scene, &history, seed, i] {
      Client(scene, history, seed * 512 + static_cast<std::uint64_t>(i)).run();
    });
}

MisbehavingClients::~MisbehavingClients() {
  for (std::thread& each : threads_) each.join();
}

}  // namespace pearspar::processes
