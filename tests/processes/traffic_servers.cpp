// Index servers that misbehave: each is a thread with a loop that serves, and a thread that beats.
#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>

#include "admin_client/admin_client.h"
#include "http/message.h"
#include "net/listener.h"
#include "net/loop.h"
#include "processes/traffic.h"

namespace pearspar::processes {
namespace {

using namespace std::chrono_literals;

constexpr int first_server = 171, server_port = 28740, servers_per_service = 3, slots = 30;
constexpr double beat_s = 0.4;
constexpr double serves_on_s = 4.5;  // after its leave
constexpr const char* services[] = {"shard0", "shard1", "plain"};

enum class Way {
  whole,  // with a length
  chunked,
  unframed,   // neither: the end of the connection ends it
  reset,      // unframed, and reset before its end
  cut_short,  // with a length, and closed before its end
  not_run,
  failure,
  mute,  // no answer at all
  long_work,
  surplus,  // a second answer behind the first
  early,    // a 200 before a long body is in
  garbage,
};

struct Weighted {
  Way way;
  int weight;
};
constexpr Weighted ways[] = {{Way::whole, 58},     {Way::chunked, 8}, {Way::unframed, 8}, {Way::reset, 3},
                             {Way::cut_short, 2},  {Way::not_run, 3}, {Way::failure, 2},  {Way::mute, 1},
                             {Way::long_work, 10}, {Way::surplus, 2}, {Way::early, 2},    {Way::garbage, 1}};

std::string peer_of(const net::Fd& fd) {
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  if (::getpeername(fd.get(), reinterpret_cast<sockaddr*>(&peer), &size) != 0) return "nobody";
  return net::Address{ntohl(peer.sin_addr.s_addr), ntohs(peer.sin_port)}.text();
}

Way draw_way(std::mt19937_64& random) {
  int sum = 0;
  for (const Weighted& each : ways) sum += each.weight;
  int at = static_cast<int>(random() % static_cast<unsigned>(sum));
  for (const Weighted& each : ways)
    if ((at -= each.weight) < 0) return each.way;
  return Way::whole;
}

}  // namespace

class MisbehavingServers::Server {
 public:
  Server(Scene& scene, TrafficHistory& history, std::string service, int number, std::uint64_t seed)
      : scene_(scene), history_(history), service_(std::move(service)), number_(number), random_(seed) {
    take_new_id();
    serves_ = std::thread([this] { serve(); });
    beats_ = std::thread([this] { beat(); });
  }
  ~Server() {
    over_ = true;
    serves_.join();
    beats_.join();
  }
  void leave() { leaving_ = true; }

 private:
  struct Connection {
    net::Fd fd;
    std::string peer;
    net::Watch watch;
    net::Timer timer;
    net::Buffer in;
    http::MessageReader reader{http::MessageKind::request, {16 * 1024, std::size_t{1} << 20, 4096}};
    std::optional<std::size_t> working_on;  // an arrival of the history
    std::string out;
    bool ends = false;  // once `out` is written
    bool resets = false;
  };

  void take_new_id() {
    std::lock_guard lock(id_mutex_);
    id_ = fmt::format("i-{:x}x{}", random_() & 0xffffff, number_);
  }
  std::string id() {
    std::lock_guard lock(id_mutex_);
    return id_;
  }
  std::string address() const {
    return fmt::format("{}{}:{}", scene_.net, first_server + number_, server_port);
  }

  void serve() {
    net::Loop loop;
    loop_ = &loop;
    net::Listener listener(loop, net::Address::of(address()),
                           [this](net::Fd fd) { accepted(std::move(fd)); });
    while (!over_) loop.run_once(net::Duration(0.02));
    std::vector<net::SlotId> all;
    connections_.each([&](net::SlotId slot, Connection&) { all.push_back(slot); });
    for (net::SlotId slot : all) close(slot);
  }

  void accepted(net::Fd fd) {
    const net::SlotId slot = connections_.add();
    Connection& connection = *connections_.find(slot);
    connection.peer = peer_of(fd);
    connection.fd = std::move(fd);
    connection.watch =
        loop_->watch(connection.fd.get(), POLLIN, [this, slot](short events) { ready(slot, events); });
  }

  void close(net::SlotId slot) {
    Connection* connection = connections_.find(slot);
    if (!connection) return;
    if (connection->working_on) history_.stopped(*connection->working_on);
    if (connection->resets) {
      const linger at_once{1, 0};
      ::setsockopt(connection->fd.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }
    busy_ -= connection->working_on.has_value();
    connections_.release(slot);
  }

  void ready(net::SlotId slot, short events) {
    Connection& connection = *connections_.find(slot);
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) {
      const net::IoResult result = net::read_into(connection.fd, connection.in, 65536);
      if (result == net::IoResult::ended || result == net::IoResult::failed) return close(slot);
      if (!connection.working_on && connection.out.empty()) advance(slot);
    }
    if (Connection* still = connections_.find(slot); still && (events & POLLOUT) != 0) write(slot);
  }

  void advance(net::SlotId slot) {
    Connection& connection = *connections_.find(slot);
    const http::Progress progress = connection.reader.advance(connection.in);
    if (progress == http::Progress::failed) {
      history_.fault("UNASKED",
                     "an index server got what is no request: " + connection.reader.failure_reason());
      return close(slot);
    }
    if (progress == http::Progress::done) arrived(slot, connection.reader.message());
  }

  void arrived(net::SlotId slot, const http::Message& message) {
    Connection& connection = *connections_.find(slot);
    Arrival arrival;
    arrival.id = message.header("Request-Id").value_or("none");
    arrival.server = id();
    arrival.service = service_;
    arrival.method = message.method;
    arrival.path = message.target;
    arrival.body = message.body;
    arrival.connection = connection.peer;
    arrival.at = history_.now();
    arrival.deadline_s = std::atof(std::string(message.header("Deadline-Ms").value_or("0")).c_str()) / 1000;
    arrival.stamp = fmt::format("{}.{}.{}", service_, arrival.server, ++stamps_);
    const std::string addressee(message.header("Addressee").value_or(arrival.server));
    connection.reader.next(connection.in);
    if (addressee != arrival.server) return answer(slot, 421, "", "Not-Run: 1\r\n", "");
    Way way = draw_way(random_);
    if (busy_ >= slots) way = Way::not_run;
    arrival.ran = way != Way::not_run;
    arrival.sound = way == Way::whole || way == Way::chunked || way == Way::long_work ||
                    way == Way::unframed || way == Way::surplus;
    arrival.work_s = 0.001 * static_cast<double>(1 + random_() % 20);
    if (way == Way::long_work) arrival.work_s = 0.3 + 0.001 * static_cast<double>(random_() % 2500);
    if (way == Way::mute) arrival.work_s = arrival.deadline_s;
    const std::size_t number = history_.arrived(arrival);
    if (way == Way::not_run) return answer(slot, 503, arrival.id, "Not-Run: 1\r\n", "");
    connection.working_on = number;
    ++busy_;
    const double work = std::min(arrival.work_s, arrival.deadline_s);
    connection.timer = loop_->at(loop_->now() + net::Duration(work),
                                 [this, slot, arrival, way, work] { worked(slot, arrival, way, work); });
  }

  void worked(net::SlotId slot, const Arrival& arrival, Way way, double work) {
    Connection& connection = *connections_.find(slot);
    history_.stopped(*std::exchange(connection.working_on, std::nullopt));
    --busy_;
    const std::string& id = arrival.id;
    if (way == Way::mute) return;
    if (way == Way::failure || work < arrival.work_s)
      return answer(slot, work < arrival.work_s ? 504 : 500, id,
                    fmt::format("Postmark: {}\r\n", arrival.stamp), "");
    const std::string body =
        may_be_gathered(arrival.path) ? records_of(arrival.stamp) : bytes_of(arrival.stamp);
    const std::string stamp = fmt::format("Postmark: {}\r\n", arrival.stamp);
    const std::string head = fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\n{}", id, stamp);
    switch (way) {
      case Way::chunked: {
        const std::size_t half = body.size() / 2;
        std::string chunks;
        for (const std::string& chunk : {body.substr(0, half), body.substr(half)})
          if (!chunk.empty()) chunks += fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk);
        return say(slot, head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n", false, false);
      }
      case Way::unframed:
        return say(slot, head + "\r\n" + body, true, false);
      case Way::reset:
        return say(slot, head + "\r\n" + body.substr(0, body.size() / 2), true, true);
      case Way::cut_short:
        return say(slot, head + fmt::format("Content-Length: {}\r\n\r\n", body.size() + 16) + body, true,
                   false);
      case Way::garbage:
        return say(slot, "\x01\x02 these are no bytes of the protocol\r\n\r\n", false, false);
      case Way::surplus: {
        const std::string whole = head + fmt::format("Content-Length: {}\r\n\r\n", body.size()) + body;
        return say(slot, whole + whole, false, false);
      }
      default:
        return answer(slot, 200, id, stamp, body);
    }
  }

  void answer(net::SlotId slot, int status, const std::string& id, const std::string& headers,
              const std::string& body) {
    const std::string named = id.empty() ? std::string() : fmt::format("Request-Id: {}\r\n", id);
    say(slot,
        fmt::format("HTTP/1.1 {} X\r\n{}{}Content-Length: {}\r\n\r\n{}", status, named, headers, body.size(),
                    body),
        false, false);
  }

  void say(net::SlotId slot, std::string bytes, bool ends, bool resets) {
    Connection& connection = *connections_.find(slot);
    connection.out = std::move(bytes);
    connection.ends = ends;
    connection.resets = resets;
    write(slot);
  }

  void write(net::SlotId slot) {
    Connection& connection = *connections_.find(slot);
    std::size_t written = 0;
    const net::IoResult result = net::write_from(connection.fd, connection.out, written);
    if (result == net::IoResult::failed) return close(slot);
    connection.out.erase(0, written);
    if (!connection.out.empty()) return connection.watch.set_events(POLLIN | POLLOUT);
    if (connection.resets) {
      // What was written is to arrive before the reset takes the connection.
      connection.timer = loop_->at(loop_->now() + 30ms, [this, slot] { close(slot); });
      return;
    }
    if (connection.ends) return close(slot);
    connection.watch.set_events(POLLIN);
    if (connection.in.size() > 0) advance(slot);
  }

  void beat() {
    net::Loop loop;
    int sequence = 0;
    auto say = [&](const std::string& state) {
      admin_client::AdminClient caller(loop, scene_.controls());
      return caller.call(
          {"PUT", "/pearspar/nodes/" + id(), "",
           fmt::format(R"({{"depot":"{}","address":"{}","zoneName":"a","edition":"v1","slotCount":{},)"
                       R"("nodeState":"{}","coldLeftMs":0,"callSeq":{}}})",
                       service_, address(), slots, state, ++sequence),
           ""},
          2s);
    };
    while (!over_) {
      say("at_post");
      rest(beat_s);
      if (!leaving_ || over_) continue;
      const std::string before = id();
      // Some never say that they close: they send the DELETE first, and serve on as long.
      const bool deletes_first = random_device_() % 3 == 0;
      bool known = deletes_first ? remove(loop, before) : say("closing_out").status == 200;
      if (known) history_.left_service(before);
      rest(serves_on_s);
      if (!deletes_first) remove(loop, before);
      take_new_id();
      sequence = 0;
      leaving_ = false;
    }
  }

  bool remove(net::Loop& loop, const std::string& server) {
    admin_client::AdminClient caller(loop, scene_.controls());
    return caller.call({"DELETE", "/pearspar/nodes/" + server, "", "", ""}, 2s).status == 200;
  }

  void rest(double seconds) {
    const double until = history_.now() + seconds;
    while (!over_ && history_.now() < until) std::this_thread::sleep_for(20ms);
  }

  Scene& scene_;
  TrafficHistory& history_;
  const std::string service_;
  const int number_;
  std::mt19937_64 random_;         // of the thread that serves, but for the first id
  std::mt19937 random_device_{7};  // of the thread that beats
  std::mutex id_mutex_;
  std::string id_;
  net::Loop* loop_ = nullptr;
  net::SlotTable<Connection> connections_;
  int busy_ = 0;
  std::uint64_t stamps_ = 0;
  std::atomic<bool> over_{false}, leaving_{false};
  std::thread serves_, beats_;
};

MisbehavingServers::MisbehavingServers(Scene& scene, TrafficHistory& history, std::uint64_t seed) {
  int number = 0;
  for (const char* service : services)
    for (int i = 0; i < servers_per_service; ++i, ++number)
      servers_.push_back(std::make_unique<Server>(scene, history, service, number,
                                                  seed * 64 + static_cast<std::uint64_t>(number)));
}

MisbehavingServers::~MisbehavingServers() = default;

void MisbehavingServers::leave(int number) {
  servers_[static_cast<std::size_t>(number) % servers_.size()]->leave();
}

}  // namespace pearspar::processes
