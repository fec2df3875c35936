#include "peersim/network.h"

#include <fmt/format.h>

#include <algorithm>

namespace pearspar::peersim {
namespace {

constexpr std::size_t most_waiting = 2000;  // datagrams that a stopped process's socket holds
constexpr double epoch = 1'700'000'000;     // so that the cores' clocks begin somewhere

}  // namespace

Network::Network(std::uint64_t seed, const peers::Options& options, const judge::Terms& terms)
    : random_(seed), options_(options), judge_(terms) {}

net::Address Network::address(int number) const {
  return {0x0a000001u + static_cast<std::uint32_t>(number), 7000};
}

net::Time Network::time_of(int number) const {
  return net::Time(net::Duration(epoch + now_)) + (clock_ahead ? clock_ahead(number) : net::Duration(0));
}

Network::Broker& Network::broker(int number) {
  if (number >= size()) brokers_.resize(static_cast<std::size_t>(number) + 1);
  return brokers_[static_cast<std::size_t>(number)];
}

void Network::start(int number, int place) {
  Broker& each = broker(number);
  each.address = address(place < 0 ? number : place);
  start_as(number, fmt::format("b{:03}", number),
           std::max(each.run + 1, static_cast<std::uint64_t>((epoch + now_) * 1000) << 16));
}

void Network::start_as(int number, const std::string& name, std::uint64_t run) {
  Broker& each = broker(number);
  if (each.address == net::Address{}) each.address = address(number);
  each.name = name;
  each.run = run;
  each.stopped = each.held = false;
  each.finish_at = -1;
  each.waiting.clear();
  each.claimed_settled = false;
  each.claimed_digest = 0;
  places_[each.address] = number;
  peers::Self self{name, run, each.address, {}, "a", "r", "1"};
  each.core = std::make_unique<peers::Core>(options_, self, random_(), time_of(number));
  judge_.happened({now_, judge::Deed::started, name, run});
  each.core->ready(time_of(number));
  each.tick_at = -1;
  after(number);
}

void Network::kill(int number) {
  Broker& each = broker(number);
  if (!each.core) return;
  each.core.reset();
  each.stopped = false;
  judge_.happened({now_, judge::Deed::killed, each.name, each.run});
}

void Network::leave(int number) {
  Broker& each = broker(number);
  if (!each.core) return;
  judge_.happened({now_, judge::Deed::told_to_leave, each.name, each.run});
  each.core->leave(time_of(number));
  each.finish_at = now_ + 0.5;
  events_.push({each.finish_at, ++order_, number, true, false, {}, {}});
  after(number);
}

void Network::stop(int number) {
  broker(number).stopped = true;
  judge_.happened({now_, judge::Deed::stopped, broker(number).name, 0});
}

void Network::resume(int number) {
  Broker& each = broker(number);
  if (!each.core) return;
  each.stopped = false;
  judge_.happened({now_, judge::Deed::resumed, each.name, 0});
  wake(number);
}

void Network::hold(int number, net::Duration time) {
  if (!running(number) || broker(number).held) return;
  broker(number).held = true;
  Event event;
  event.at = now_ + time.count();
  event.order = ++order_;
  event.to = number;
  event.wake = true;
  events_.push(std::move(event));
}

// A process that wakes up finds what has come before it looks at its own clocks.
void Network::wake(int number) {
  Broker& each = broker(number);
  each.held = false;
  auto waiting = std::move(each.waiting);
  each.waiting.clear();
  for (const auto& [from, bytes] : waiting) deliver(number, from, bytes);
  if (each.core) each.core->tick(time_of(number));
  after(number);
}

void Network::calm() { judge_.happened({now_, judge::Deed::calm, {}, 0}); }
void Network::restless() { judge_.happened({now_, judge::Deed::restless, {}, 0}); }
void Network::troubled() { judge_.happened({now_, judge::Deed::troubled, {}, 0}); }

void Network::inject(const net::Address& from, int to, std::string bytes) {
  events_.push({now_, ++order_, to, false, false, from, std::move(bytes)});
}

void Network::deliver(int number, const net::Address& from, const std::string& bytes) {
  Broker& each = broker(number);
  if (!each.core) return;
  if (each.stopped || each.held) {
    if (each.waiting.size() < most_waiting) each.waiting.emplace_back(from, bytes);
    return;
  }
  each.core->receive(time_of(number), from, bytes);
  after(number);
}

void Network::after(int number) {
  Broker& each = broker(number);
  if (!each.core) return;
  std::uniform_real_distribution<double> even(0, 1);
  for (peers::Datagram& datagram : each.core->take_datagrams()) {
    if (tap) tap(number, datagram.to, datagram.bytes);
    auto found = places_.find(datagram.to);
    if (found == places_.end()) continue;
    const int to = found->second;
    const Link way = link ? link(number, to) : Link{};
    if (way.cut || even(random_) < way.loss) continue;
    const int copies = even(random_) < way.twice ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      std::string bytes = datagram.bytes;
      if (even(random_) < way.spoilt) {
        const std::size_t bit = random_() % (bytes.size() * 8);
        bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << (bit % 8)));
      }
      const double at = now_ + way.delay.count() + way.jitter.count() * even(random_);
      events_.push({at, ++order_, to, false, false, each.address, std::move(bytes)});
    }
  }
  for (peers::MemberEvent& note : each.core->take_events()) {
    if (note.name != each.name)
      judge_.said({now_, each.name, note.name, note.run, note.incarnation, peers::name_of(note.after)});
    if (keep_notes) each.notes.push_back(std::move(note));
  }
  const bool settled = each.core->settled(time_of(number));
  const std::uint64_t digest = each.core->digest();
  const std::size_t in_force = each.core->in_force();
  if (settled != each.claimed_settled || digest != each.claimed_digest || in_force != each.claimed_in_force) {
    each.claimed_settled = settled;
    each.claimed_digest = digest;
    each.claimed_in_force = in_force;
    judge_.claimed({now_, each.name, fmt::format("{:016x}", digest), in_force, settled});
  }
  const net::Time due = each.core->due();
  if (due == net::Time::max()) return;
  const double at = std::max(now_, (due - time_of(number)).count() + now_);
  if (each.tick_at >= now_ && each.tick_at <= at) return;
  each.tick_at = at;
  events_.push({at, ++order_, number, true, false, {}, {}});
}

void Network::run_for(net::Duration time) {
  const double until = now_ + time.count();
  while (!events_.empty() && events_.top().at <= until) {
    Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    if (event.wake) {
      wake(event.to);
      continue;
    }
    if (!event.tick) {
      deliver(event.to, event.from, event.bytes);
      continue;
    }
    Broker& each = broker(event.to);
    if (!each.core || each.stopped || each.held) continue;
    if (each.tick_at <= now_) each.tick_at = -1;
    if (each.finish_at >= 0 && each.finish_at <= now_) {
      each.finish_at = -1;
      each.core->finish(time_of(event.to));
    }
    if (each.core->due() <= time_of(event.to) + std::chrono::microseconds(1))
      each.core->tick(time_of(event.to) + std::chrono::microseconds(1));
    if (each.core->finished(time_of(event.to))) {
      each.core.reset();
      judge_.happened({now_, judge::Deed::ended, each.name, 0});
      continue;
    }
    after(event.to);
  }
  now_ = until;
}

}  // namespace pearspar::peersim
