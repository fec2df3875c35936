#include "processes/client_connection.h"

#include <fmt/format.h>
#include <poll.h>

#include "http/message.h"

namespace pearspar::processes {
namespace {

constexpr double connect_within_s = 0.5;
constexpr double answer_slack_s = 1.5;  // past the deadline, before the client gives up
constexpr std::size_t bytes_at_once = 65536;

}  // namespace

bool ClientConnection::wait(short events, double until) {
  pollfd waiting{fd_.get(), events, 0};
  const double left = until - history_.now();
  return left > 0 && ::poll(&waiting, 1, static_cast<int>(left * 1000) + 1) > 0;
}

bool ClientConnection::connect(const std::string& edge) {
  in_ = net::Buffer();
  int error = 0;
  fd_ = net::start_connect(net::Address::of(edge), error);
  if (!fd_) return false;
  if (!wait(POLLOUT, history_.now() + connect_within_s) || net::connect_error(fd_) != 0) fd_.reset();
  return is_open();
}

bool ClientConnection::send(std::string_view bytes, double until) {
  while (!bytes.empty()) {
    std::size_t written = 0;
    const net::IoResult result = net::write_from(fd_, bytes, written);
    if (result == net::IoResult::failed) return false;
    bytes.remove_prefix(written);
    if (result == net::IoResult::none && !wait(POLLOUT, until)) return false;
  }
  return true;
}

void ClientConnection::exchange(ClientTry attempt) {
  attempt.sent_at = history_.now();
  history_.sent(attempt);
  std::string text = request_head(attempt);
  if (!attempt.body.empty()) text += fmt::format("Content-Length: {}\r\n", attempt.body.size());
  text += "\r\n" + attempt.body;
  const double until = attempt.sent_at + attempt.deadline_s + answer_slack_s;
  if (!send(text, until)) return broken_off(attempt);
  history_.sent_whole(attempt.id);
  read_answer(attempt, until);
}

void ClientConnection::broken_off(const ClientTry& attempt) {
  history_.closed(attempt.id);
  fd_.reset();
}

void ClientConnection::read_answer(const ClientTry& attempt, double until) {
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
    const net::IoResult result = net::read_into(fd_, in_, bytes_at_once);
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

std::string request_head(const ClientTry& attempt) {
  return fmt::format("{} {} HTTP/1.1\r\nHost: hall.example\r\nRequest-Id: {}\r\nDeadline-Ms: {:.0f}\r\n",
                     attempt.method, attempt.path, attempt.id, attempt.deadline_s * 1000);
}

}  // namespace pearspar::processes
