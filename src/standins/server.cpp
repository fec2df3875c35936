#include "standins/server.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <vector>

namespace pearspar::standins {

Server::Server(net::Loop& loop, const net::Address& address, OnAsk on_ask, OnGone on_gone)
    : loop_(loop),
      on_ask_(std::move(on_ask)),
      on_gone_(std::move(on_gone)),
      port_(address),
      listener_(loop, port_.address(), [this](net::Fd fd) { accept(std::move(fd)); }) {}

void Server::accept(net::Fd fd) {
  net::SlotId id = connections_.add();
  Connection& connection = *connections_.find(id);
  connection.fd = std::move(fd);
  connection.watch =
      loop_.watch(connection.fd.get(), POLLIN, [this, id](short events) { on_ready(id, events); });
}

void Server::on_ready(net::SlotId id, short events) {
  Connection* connection = connections_.find(id);
  if (!connection) return;
  if ((events & POLLOUT) != 0) write(id);
  connection = connections_.find(id);
  if (!connection || (events & (POLLIN | POLLHUP | POLLERR)) == 0) return;
  net::IoResult result = net::read_into(connection->fd, connection->in, 64 * 1024);
  if (result == net::IoResult::none) return;
  if (result != net::IoResult::some) return drop(id, false);
  if (hung_) return connection->in.consume(connection->in.size());
  while (connection && connection->in.size() > 0) {
    http::Progress progress = connection->reader.advance(connection->in);
    if (progress == http::Progress::more) return;
    if (progress == http::Progress::failed) return drop(id, true);
    const http::Message& message = connection->reader.message();
    Ask ask{id, std::string(message.method), std::string(message.target), std::string(message.body)};
    connection->reader.next(connection->in);
    on_ask_(ask);
    connection = connections_.find(id);
  }
}

void Server::put(net::SlotId id, std::string_view bytes) {
  Connection* connection = connections_.find(id);
  if (!connection) return;
  connection->out.append(bytes);
  if (trickle_ == 0) write(id);
}

void Server::reply(net::SlotId id, int status, const std::string& body, const std::string& headers) {
  put(id, fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\n{}Content-Length: {}\r\n\r\n{}",
                      status, http::reason(status), headers, body.size(), body));
}

void Server::begin_stream(net::SlotId id) {
  put(id, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
  if (Connection* connection = connections_.find(id)) {
    connection->streaming = true;
    if (cut_after_) connection->cut = connection->out.size() + *std::exchange(cut_after_, std::nullopt);
  }
}

void Server::stream(net::SlotId id, std::string_view piece) {
  put(id, fmt::format("{:x}\r\n{}\r\n", piece.size(), piece));
}

void Server::end_stream(net::SlotId id) {
  put(id, "0\r\n\r\n");
  if (Connection* connection = connections_.find(id)) connection->streaming = false;
}

std::size_t Server::waiting(net::SlotId id) {
  Connection* connection = connections_.find(id);
  return connection ? connection->out.size() : 0;
}

void Server::hang(bool on) {
  hung_ = on;
  if (on) return;
  std::vector<net::SlotId> ids;
  connections_.each([&](net::SlotId id, Connection&) { ids.push_back(id); });
  for (net::SlotId id : ids) write(id);
}

void Server::write(net::SlotId id) {
  Connection* connection = connections_.find(id);
  if (!connection || hung_) return;
  while (!connection->out.empty()) {
    std::size_t most = connection->out.size();
    if (connection->cut) most = std::min(most, *connection->cut);
    if (trickle_ > 0) most = std::min(most, trickle_);
    std::size_t written = 0;
    if (most > 0) {
      net::IoResult result =
          net::write_from(connection->fd, std::string_view(connection->out).substr(0, most), written);
      if (result == net::IoResult::failed) return drop(id, false);
      if (result == net::IoResult::none) break;
      connection->out.erase(0, written);
    }
    if (connection->cut && (*connection->cut -= written) == 0) return drop(id, false);
    if (trickle_ > 0) break;
  }
  bool more = !connection->out.empty() && trickle_ == 0;
  connection->watch.set_events(static_cast<short>(POLLIN | (more ? POLLOUT : 0)));
}

void Server::trickle(std::size_t bytes_per_ms) {
  trickle_ = bytes_per_ms;
  trickle_timer_.reset();
  std::vector<net::SlotId> ids;
  connections_.each([&](net::SlotId id, Connection&) { ids.push_back(id); });
  for (net::SlotId id : ids) write(id);
  if (trickle_ > 0)
    trickle_timer_ = loop_.at(loop_.now() + std::chrono::milliseconds(1), [this] { trickle(trickle_); });
}

void Server::drop(net::SlotId id, bool reset) {
  Connection* connection = connections_.find(id);
  if (!connection) return;
  if (reset) {
    linger hard{1, 0};
    ::setsockopt(connection->fd.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  }
  connection->watch.reset();
  connections_.release(id);
  on_gone_(id);
}

void Server::reset_all() {
  std::vector<net::SlotId> ids;
  connections_.each([&](net::SlotId id, Connection&) { ids.push_back(id); });
  for (net::SlotId id : ids) drop(id, true);
}

void Server::go_down() {
  listener_.close();
  reset_all();
}

void Server::come_up() { listener_.open(); }

}  // namespace pearspar::standins
