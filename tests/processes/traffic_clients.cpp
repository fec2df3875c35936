// Clients that misbehave, each in a thread of its own, with a connection that it keeps as long as it pleases.
#include <fmt/format.h>
#include <poll.h>

#include <algorithm>
#include <chrono>
#include <random>

#include "processes/client_connection.h"
#include "processes/traffic.h"

namespace pearspar::processes {
namespace {

using namespace std::chrono_literals;

constexpr double answer_slack_s = 1.5;  // past the deadline, before a client gives up for good

class Client {
 public:
  Client(Scene& scene, TrafficHistory& history, std::uint64_t seed)
      : scene_(scene), history_(history), random_(seed), connection_(history) {}

  void run() {
    while (!scene_.over) {
      if (!connection_.is_open() || chance(15)) connect();
      if (!connection_.is_open()) {
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

  void connect() {
    connection_.close();
    used_ = 0;
    {
      std::lock_guard lock(scene_.mutex);
      if (scene_.edges.empty()) return;
      edge_ = scene_.edges[random_() % scene_.edges.size()];
    }
    connection_.connect(edge_);
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
    std::string text = request_head(attempt);
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
    const bool sent = manner < 8 ? drip(text, until) : connection_.send(text, until);
    if (!sent) return connection_.broken_off(attempt);
    history_.sent_whole(attempt.id);
    ++used_;
    if (manner >= 8 && manner < 20) return leave_early(attempt);
    if (manner >= 20 && manner < 24) return pipelined(attempt, until);
    connection_.read_answer(attempt, until);
  }

  void half_a_request(const ClientTry& attempt, const std::string& text) {
    connection_.send(std::string_view(text).substr(0, text.size() / 2), history_.now() + 1);
    rest(0.2);
    history_.left(attempt.id);
    connection_.close();
  }

  bool drip(std::string_view text, double until) {
    const std::size_t step = text.size() / 5 + 1;
    while (!text.empty()) {
      if (!connection_.send(text.substr(0, step), until)) return false;
      text.remove_prefix(std::min(step, text.size()));
      rest(0.03);
    }
    return true;
  }

  void leave_early(const ClientTry& attempt) {
    rest(0.02 + 0.001 * static_cast<double>(random_() % 300));
    if (connection_.wait(POLLIN, history_.now() + 0.001))
      return connection_.read_answer(attempt, history_.now() + 2);
    history_.left(attempt.id);
    connection_.close();
  }

  // The next one before the answer to the first is here.
  void pipelined(const ClientTry& first, double until) {
    ClientTry second = draw();
    second.sent_at = history_.now();
    second.behind = first.id;
    history_.sent(second);
    const bool sent = connection_.send(text_of(second, false), until);
    if (sent) history_.sent_whole(second.id);
    connection_.read_answer(first, until);
    if (!connection_.is_open()) return history_.left(second.id);  // what crosses a close is not passed on
    if (!sent) return connection_.broken_off(second);
    connection_.read_answer(second, until + second.deadline_s);
  }

  Scene& scene_;
  TrafficHistory& history_;
  std::mt19937_64 random_;
  ClientConnection connection_;
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
