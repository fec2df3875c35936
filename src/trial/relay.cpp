#include "trial/relay.h"

#include <array>

namespace pearspar::trial {
namespace {

constexpr int most_in_a_turn = 256;

}  // namespace

int Relay::add(const net::Address& behind) {
  const int number = static_cast<int>(places_.size());
  net::Fd fd = net::bind_datagrams({0x7f000001, 0});
  const net::Address known = net::local_address(fd);
  places_.push_back({std::move(fd), {}, behind, known, {}});
  places_.back().watch =
      loop_.watch(places_.back().fd.get(), POLLIN, [this, number](short) { readable(number); });
  sources_[{behind.host, behind.port}] = number;
  return number;
}

void Relay::set_all(const Way& way) {
  all_ = way;
  ways_.clear();
}

void Relay::readable(int to) {
  std::array<char, 4096> bytes;
  net::Address from;
  bool more = true;
  for (int i = 0; i < most_in_a_turn && more; ++i) {
    const std::size_t got = net::receive_datagram(places_[static_cast<std::size_t>(to)].fd, bytes.data(),
                                                  bytes.size(), from, more);
    if (!more) break;
    ++counters_.came;
    auto source = sources_.find({from.host, from.port});
    if (source == sources_.end()) {
      ++counters_.unknown;
      continue;
    }
    auto found = ways_.find({source->second, to});
    const Way& way = found == ways_.end() ? all_ : found->second;
    if (way.cut) {
      ++counters_.cut;
      continue;
    }
    if (chance(way.loss)) {
      ++counters_.lost;
      continue;
    }
    std::string datagram(bytes.data(), got);
    places_[static_cast<std::size_t>(to)].last = datagram;
    const int copies = chance(way.twice) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      std::string each = datagram;
      if (!each.empty() && chance(way.spoilt))
        each[random_() % each.size()] ^= static_cast<char>(1 << random_() % 8);
      const net::Duration wait =
          way.delay + way.jitter * std::uniform_real_distribution<double>(0, 1)(random_);
      if (wait <= net::Duration(0)) {
        pass(source->second, to, each);
      } else {
        waiting_.emplace(loop_.now() + wait, Waiting{source->second, to, std::move(each)});
        arm();
      }
    }
  }
}

void Relay::pass(int from, int to, const std::string& bytes) {
  ++counters_.passed;
  net::send_datagram(places_[static_cast<std::size_t>(from)].fd, places_[static_cast<std::size_t>(to)].behind,
                     bytes);
}

void Relay::arm() {
  if (waiting_.empty()) return;
  timer_ = loop_.at(waiting_.begin()->first, [this] {
    while (!waiting_.empty() && waiting_.begin()->first <= loop_.now()) {
      const Waiting each = std::move(waiting_.begin()->second);
      waiting_.erase(waiting_.begin());
      pass(each.from, each.to, each.bytes);
    }
    arm();
  });
}

void Relay::noise(int to, double per_s, net::Duration for_time) {
  make_noise(to, per_s, loop_.now() + for_time);
}

void Relay::make_noise(int to, double per_s, net::Time until) {
  constexpr double ticks_per_s = 100;
  for (int i = 0; i < static_cast<int>(per_s / ticks_per_s); ++i) {
    Place& place = places_[static_cast<std::size_t>(to)];
    std::string bytes;
    if (i % 3 != 0 && !place.last.empty()) {
      bytes = place.last;  // a copy, or a spoilt one
      if (i % 3 == 1) bytes[random_() % bytes.size()] ^= static_cast<char>(1 << random_() % 8);
    } else {
      bytes.resize(random_() % 1600);
      for (char& each : bytes) each = static_cast<char>(random_());
    }
    const std::size_t from = random_() % places_.size();
    ++counters_.noise;
    net::send_datagram(places_[from].fd, place.behind, bytes);
  }
  if (loop_.now() + net::Duration(1 / ticks_per_s) < until)
    noises_[to] = loop_.at(loop_.now() + net::Duration(1 / ticks_per_s),
                           [this, to, per_s, until] { make_noise(to, per_s, until); });
}

}  // namespace pearspar::trial
