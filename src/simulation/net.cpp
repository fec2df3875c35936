#include "simulation/net.h"

#include <algorithm>

namespace pearspar::simulation {

Port::Port(Net& net, std::string address, transport::TransportHandler& user)
    : net_(net), address_(std::move(address)), user_(user) {
  net_.ports_[address_] = this;
}

Port::~Port() { net_.end(*this, true); }

void Port::set_targets(const std::vector<std::string>& addresses) {
  for (auto it = dials_.begin(); it != dials_.end();) {
    if (std::find(addresses.begin(), addresses.end(), it->first) != addresses.end()) {
      ++it;
      continue;
    }
    transport::LinkId link = it->second.link;
    std::string other = it->first;
    it = dials_.erase(it);
    if (auto found = net_.links_.find(link); found != net_.links_.end()) {
      auto [held, dialler] = found->second;
      net_.break_side(held, dialler);
      net_.world_.in(net_.delay(address_, other), [this_net = &net_, held = held, dialler = dialler] {
        this_net->break_side(held, !dialler);
      });
    }
  }
  for (const std::string& address : addresses)
    if (!dials_.count(address)) dial(address);
}

void Port::dial(const std::string& address) {
  Dial& dial = dials_[address];
  if (dial.link != 0 || dial.coming) return;
  dial.coming = true;
  net_.connect(*this, address);
}

bool Port::send_to(const std::string& address, std::string_view frame) {
  auto found = dials_.find(address);
  if (found == dials_.end()) {
    dial(address);
    found = dials_.find(address);
  }
  if (found->second.link != 0) return send(found->second.link, frame);
  Dial& dial = found->second;
  if (!dial.coming || dial.queued_bytes + frame.size() > Net::most_held) return false;
  dial.queued_bytes += frame.size();
  dial.queued.emplace_back(frame);
  return true;
}

bool Port::send(transport::LinkId link, std::string_view frame) {
  auto found = net_.links_.find(link);
  if (found == net_.links_.end()) return false;
  auto [held, dialler] = found->second;
  on_send(frame.size());
  if (net_.overfills(held, dialler, frame.size())) return true;
  net_.transmit(held, dialler, std::string(frame), std::max(net_.world_.now(), leaves()));
  return true;
}

void Port::ended(transport::LinkId link, const std::string& address) {
  run([this, link] { user_.link_down(link); });
  auto found = dials_.find(address);
  if (found == dials_.end() || found->second.link != link) return;
  found->second.link = 0;
  found->second.coming = true;
  net_.world_.in(Duration(0.05), [net = &net_, self = address_, port = this, address] {
    auto known = net->ports_.find(self);
    if (known != net->ports_.end() && known->second == port && port->dials_.count(address))
      net->connect(*port, address);
  });
}

void Net::connect(Port& from, const std::string& to) {
  std::string self = from.address_;
  Port* port = &from;
  auto still = [this, self, port] {
    auto known = ports_.find(self);
    return known != ports_.end() && known->second == port;
  };
  Duration way = delay(self, to) + delay(to, self);
  bool open = reaches(self, to) && reaches(to, self) && ports_.count(to);
  // A dead port answers at once, a dead machine not at all.
  Duration wait = open ? way : Duration(0.2);
  world_.in(wait, [this, still, port, self, to, open] {
    if (!still() || !port->dials_.count(to)) return;
    Port::Dial& dial = port->dials_[to];
    auto other = ports_.find(to);
    if (!open || other == ports_.end() || !reaches(self, to) || !reaches(to, self)) {
      dial.queued.clear();
      dial.queued_bytes = 0;
      dial.pause = std::clamp(dial.pause * 2, Duration(0.05), Duration(0.4));
      world_.in(dial.pause, [this, still, port, to] {
        if (still() && port->dials_.count(to) && port->dials_[to].link == 0) connect(*port, to);
      });
      return;
    }
    auto link = std::make_shared<Link>();
    auto fill = [this](Side& side, Port* of, const std::string& address) {
      side.port = of;
      side.address = address;
      side.id = ++next_;
    };
    fill(link->dialled, port, self);
    fill(link->accepted, other->second, to);
    links_[link->dialled.id] = {link, true};
    links_[link->accepted.id] = {link, false};
    dial.link = link->dialled.id;
    dial.coming = false;
    dial.pause = {};
    std::vector<std::string> queued = std::exchange(dial.queued, {});
    dial.queued_bytes = 0;
    transport::LinkId id = dial.link;
    port->run([port, id, to] { port->user_.link_up(id, to); });
    for (const std::string& frame : queued) port->send(id, frame);
  });
}

// Who reads so slowly gets what stands now on a new link. True where it ends.
bool Net::overfills(const LinkPtr& link, bool by_dialler, std::size_t bytes) {
  Side& sender = sender_of(link, by_dialler);
  if (sender.held + bytes <= most_held) return false;
  ++overfull_;
  world_.in(Duration(0), [this, link, by_dialler] { break_side(link, by_dialler); });
  world_.in(delay(sender.address, sender_of(link, !by_dialler).address),
            [this, link, by_dialler] { break_side(link, !by_dialler); });
  return true;
}

void Net::transmit(const LinkPtr& link, bool by_dialler, std::string frame, Time from) {
  Side& sender = sender_of(link, by_dialler);
  ++frames_;
  bytes_ += frame.size() + 4;
  bytes_from_[sender.address] += frame.size() + 4;
  sender.held += frame.size();
  if (takes(sender.address, 1) <= Duration(0)) return depart(link, by_dialler, std::move(frame), from);
  world_.at(from, [this, link, by_dialler, frame = std::move(frame)]() mutable {
    Side& sender = sender_of(link, by_dialler);
    if (sender.told) return;
    if (sender.leaving.empty()) {
      sender.left = static_cast<double>(frame.size() + 4);
      ways_[sender.address].turns.emplace_back(link, by_dialler);
    }
    sender.leaving.push_back(std::move(frame));
    serve(sender.address);
  });
}

// The next link's turn on a machine's way out.
void Net::serve(const std::string& address) {
  Way& way = ways_[address];
  while (!way.busy && !way.turns.empty()) {
    auto [link, by_dialler] = way.turns.front();
    way.turns.pop_front();
    Side& side = sender_of(link, by_dialler);
    if (side.told) {
      side.leaving.clear();
      continue;
    }
    way.busy = true;
    double bytes = std::min(chunk, side.left);
    world_.in(takes(address, bytes), [this, link = link, by_dialler = by_dialler, bytes, address] {
      Way& way = ways_[address];
      Side& side = sender_of(link, by_dialler);
      way.busy = false;
      side.left -= bytes;
      if (!side.told) {
        if (side.left <= 0) {
          std::string frame = std::move(side.leaving.front());
          side.leaving.pop_front();
          if (!side.leaving.empty()) side.left = static_cast<double>(side.leaving.front().size() + 4);
          depart(link, by_dialler, std::move(frame), world_.now());
        }
        if (!side.leaving.empty()) way.turns.emplace_back(link, by_dialler);
      }
      serve(address);
    });
  }
}

void Net::depart(const LinkPtr& link, bool by_dialler, std::string frame, Time from) {
  Side& sender = sender_of(link, by_dialler);
  const std::string& to = sender_of(link, !by_dialler).address;
  Time arrives = std::max(from + delay(sender.address, to) + resent(), sender.free);
  const auto bytes = static_cast<double>(frame.size() + 4);
  if (Duration in = takes(to, bytes); in > Duration(0)) {
    Time& free = ways_[to].in_free;
    // Its first byte comes in while the sender is still at the others.
    const Time first_byte = arrives - takes(sender.address, bytes);
    free = arrives = std::max(arrives, std::max(free, first_byte) + in);
  }
  sender.free = arrives;
  world_.at(arrives, [this, link, by_dialler, frame = std::move(frame)]() mutable {
    arrive(link, by_dialler, std::move(frame), 0);
  });
}

// `tries`: how often it has been sent before; without bytes it waits only to be acknowledged.
void Net::arrive(const LinkPtr& link, bool by_dialler, std::string frame, int tries) {
  Side& sender = sender_of(link, by_dialler);
  const Side& receiver = sender_of(link, !by_dialler);
  if (sender.told) return;  // lost with its queue
  if (tries == 0 && sender.blocked) return sender.behind.push_back(std::move(frame));
  bool through = receiver.port && reaches(sender.address, receiver.address);
  if (through && receiver.told) return break_side(link, by_dialler);  // a reset
  bool unblocks = through && tries > 0 && !frame.empty();
  if (through && !frame.empty()) hand_in(link, by_dialler, std::exchange(frame, {}));
  // A segment that comes in is acknowledged only over a way back: without one the sender gives up all the
  // same.
  if (!through || !reaches(receiver.address, sender.address)) {
    if (tries * again_s >= silence.count()) return break_side(link, by_dialler);
    if (!through && !frame.empty()) sender.blocked = true;
    world_.in(Duration(again_s) + delay(sender.address, receiver.address),
              [this, link, by_dialler, frame = std::move(frame), tries]() mutable {
                arrive(link, by_dialler, std::move(frame), tries + 1);
              });
  }
  if (!unblocks) return;
  sender.blocked = false;
  for (std::string& next : std::exchange(sender.behind, {})) arrive(link, by_dialler, std::move(next), 0);
}

void Net::hand_in(const LinkPtr& link, bool by_dialler, std::string frame) {
  const Side& receiver = sender_of(link, !by_dialler);
  Port* port = receiver.port;
  port->run([port, link, by_dialler, id = receiver.id, frame = std::move(frame)] {
    Side& sender = sender_of(link, by_dialler);
    sender.held -= std::min(sender.held, frame.size());
    port->user_.link_frame(id, frame);
  });
}

void Net::reset(const std::string& address, double share) {
  std::vector<LinkPtr> ours;
  for (const auto& [id, held] : links_) {
    const Link& link = *held.first;
    if (held.second && (link.dialled.address == address || link.accepted.address == address))
      ours.push_back(held.first);
  }
  for (const LinkPtr& link : ours) {
    if (!world_.chance(share)) continue;
    break_side(link, true);
    break_side(link, false);
  }
}

void Net::break_side(const LinkPtr& link, bool dialler) {
  Side& side = dialler ? link->dialled : link->accepted;
  if (side.told) return;
  side.told = true;
  links_.erase(side.id);
  if (side.port) side.port->ended(side.id, dialler ? link->accepted.address : std::string());
}

void Net::end(Port& port, bool silently) {
  auto known = ports_.find(port.address_);
  if (known == ports_.end() || known->second != &port) return;
  ports_.erase(known);
  std::vector<std::pair<LinkPtr, bool>> ours;
  for (const auto& [id, held] : links_) {
    const Side& side = held.second ? held.first->dialled : held.first->accepted;
    if (side.port == &port) ours.push_back(held);
  }
  for (auto& [link, dialler] : ours) {
    Side& side = dialler ? link->dialled : link->accepted;
    links_.erase(side.id);
    side.told = true;
    side.port = nullptr;
    if (silently) continue;
    const Side& other = dialler ? link->accepted : link->dialled;
    if (reaches(side.address, other.address))
      world_.in(delay(side.address, other.address),
                [this, link = link, dialler = dialler] { break_side(link, !dialler); });
  }
}

}  // namespace pearspar::simulation
