#include "standins/node.h"

#include <sys/socket.h>

#include <charconv>
#include <vector>

namespace pearspar::standins {

NodeStandin::NodeStandin(net::Loop& loop, const net::Address& address, const NodeBehaviour& behaviour,
                         std::uint64_t seed, Value value)
    : loop_(loop),
      behaviour_(behaviour),
      random_(seed),
      value_(std::move(value)),
      port_(address),
      listener_(loop, port_.address(), [this](net::Fd fd) { accept(std::move(fd)); }) {
  if (!value_) value_ = [](const Part& part) { return "found in shard " + std::to_string(part.shard); };
}

void NodeStandin::accept(net::Fd fd) {
  net::SlotId id = connections_.add();
  Connection& connection = *connections_.find(id);
  connection.fd = std::move(fd);
  connection.watch =
      loop_.watch(connection.fd.get(), POLLIN, [this, id](short events) { on_ready(id, events); });
}

void NodeStandin::on_ready(net::SlotId id, short events) {
  if ((events & POLLOUT) != 0) write(id);
  Connection* connection = connections_.find(id);
  if (!connection || (events & (POLLIN | POLLHUP | POLLERR)) == 0) return;
  net::IoResult result = net::read_into(connection->fd, connection->in, 64 * 1024);
  if (result == net::IoResult::none) return;
  if (result != net::IoResult::some) return drop(id);
  while (connection && connection->in.size() >= 5) {
    std::string_view have = connection->in.view();
    std::size_t size = 0;
    for (int i = 0; i < 4; ++i)
      size = size * 256 + static_cast<unsigned char>(have[static_cast<std::size_t>(i)]);
    if (size == 0) return drop(id);
    if (have.size() < 4 + size) return;
    std::string rest(have.substr(5, size - 1));
    char letter = have[4];
    connection->in.consume(4 + size);
    take(id, letter, rest);
    connection = connections_.find(id);
  }
}

void NodeStandin::take(net::SlotId id, char letter, std::string_view rest) {
  switch (letter) {
    case 'm':
      return take_parts(id, rest);
    case 'n':
      if (connections_.find(id)->open.erase(std::string(rest)) != 0) ++given_up_;
      return;
    case 'o':
      return send(id, 'o', "good");
    case 'p':
      return send(id, 'p', "-");
    default:
      send(id, 'r', "no such letter");
      drop(id);
  }
}

void NodeStandin::take_parts(net::SlotId id, std::string_view rest) {
  while (!rest.empty()) {
    // ID SHARD LIST LENGTH, and so many bytes of text.
    std::size_t end = rest.find('\n');
    std::vector<std::string> words(1);
    for (char c : rest.substr(0, end)) {
      if (c == ' ')
        words.emplace_back();
      else
        words.back().push_back(c);
    }
    if (end == rest.npos || words.size() != 4) {
      send(id, 'r', "no such part");
      return drop(id);
    }
    Part part{words[0], std::atoi(words[1].c_str()), 0, {}};
    if (words[2].rfind("d=", 0) == 0) part.wait_ms = std::atoll(words[2].c_str() + 2);
    std::size_t length = static_cast<std::size_t>(std::atoll(words[3].c_str()));
    part.text = std::string(rest.substr(end + 1, length));
    rest.remove_prefix(std::min(rest.size(), end + 1 + length));
    ++parts_;
    last_part_ = loop_.now();
    if (chance(behaviour_.share_reset)) return drop(id);
    if (chance(behaviour_.share_silent)) continue;
    net::Duration delay =
        behaviour_.delay + behaviour_.jitter * std::uniform_real_distribution<double>(0, 1)(random_);
    Connection* connection = connections_.find(id);
    connection->open[part.id] = loop_.at(loop_.now() + delay, [this, id, part] { answer(id, part); });
  }
}

void NodeStandin::answer(net::SlotId id, const Part& part) {
  Connection* connection = connections_.find(id);
  if (!connection) return;
  ++answered_;
  std::string head = part.id;
  if (chance(behaviour_.share_later))
    head += " later 0 -\n";
  else if (chance(behaviour_.share_bad))
    head += " bad 0 -\n";
  else
    head += " good 1 -\n" + value_(part);
  connection->open.erase(part.id);
  send(id, 'q', head);
}

void NodeStandin::send(net::SlotId id, char letter, const std::string& rest) {
  Connection* connection = connections_.find(id);
  if (!connection) return;
  std::size_t size = rest.size() + 1;
  for (int shift : {24, 16, 8, 0}) connection->out.push_back(static_cast<char>(size >> shift & 255));
  connection->out.push_back(letter);
  connection->out += rest;
  write(id);
}

void NodeStandin::write(net::SlotId id) {
  Connection* connection = connections_.find(id);
  if (!connection) return;
  while (!connection->out.empty()) {
    std::size_t written = 0;
    net::IoResult result = net::write_from(connection->fd, connection->out, written);
    if (result == net::IoResult::failed) return drop(id);
    if (result == net::IoResult::none) break;
    connection->out.erase(0, written);
  }
  connection->watch.set_events(static_cast<short>(POLLIN | (connection->out.empty() ? 0 : POLLOUT)));
}

void NodeStandin::drop(net::SlotId id) {
  Connection* connection = connections_.find(id);
  if (!connection) return;
  linger hard{1, 0};
  ::setsockopt(connection->fd.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  connection->watch.reset();
  connections_.release(id);
}

void NodeStandin::go_down() {
  listener_.close();
  std::vector<net::SlotId> ids;
  connections_.each([&](net::SlotId id, Connection&) { ids.push_back(id); });
  for (net::SlotId id : ids) drop(id);
}

void NodeStandin::come_up() { listener_.open(); }

}  // namespace pearspar::standins
